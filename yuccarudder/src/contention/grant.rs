/// The targets at which a host may place its first waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
  /// All targets: no other host competes for them.
  All,
  /// The targets with these fingerprints, in ascending order.
  Only(Vec<u64>),
}

impl Grant {
  /// Returns whether the request may be placed at a target.
  pub fn allows(&self, target: u64) -> bool {
    match self {
      Self::All => true,
      Self::Only(targets) => targets.binary_search(&target).is_ok(),
    }
  }
}
