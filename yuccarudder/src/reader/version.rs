/// A state of the platform's store.
///
/// The store may be restored from an older copy. Its revisions then go back and are assigned
/// again, so a revision identifies a state only together with the era.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
  /// How often the store has been restored from a copy.
  pub era: u64,
  /// The revision, which rises with each change within an era.
  pub revision: u64,
}

impl Version {
  /// Returns the state at a revision of an era.
  pub fn new(era: u64, revision: u64) -> Self {
    Self { era, revision }
  }
}
