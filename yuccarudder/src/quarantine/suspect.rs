use super::evidence::Evidence;

/// Crashes after which a part is banned that no target has ever answered soundly.
pub const MIN_CRASHES_OF_NEW_PART: usize = 3;

/// A part that may be to blame for crashes.
pub struct Suspect<'a> {
  /// Number of crashes that it explains.
  pub crashes: usize,
  pub evidence: &'a Evidence,
  pub groups: &'a [Vec<u64>],
  /// Whether no target is known to have answered it soundly.
  pub is_new: bool,
  pub part: u64,
}

impl Suspect<'_> {
  /// Returns whether this part is the likelier cause of the crashes that both explain: it is under
  /// more of them, or occurs only together with the other one, which many sound requests have.
  pub fn explains_better(&self, other: &Self) -> bool {
    let targets = &self.evidence.targets;
    let is_narrower = targets.len() < other.evidence.targets.len()
      && targets.keys().all(|target| other.evidence.targets.contains_key(target));
    self.crashes >= MIN_CRASHES_OF_NEW_PART
      && (self.is_new || !other.is_new)
      && (self.crashes > other.crashes || is_narrower)
  }
}
