use std::time::Instant;

/// Prompt parts that are kept away from the targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ban {
  /// Number of targets that crashed.
  pub crashes: u32,
  /// When the first of them crashed.
  pub first_crash: Instant,
  /// When the last of them crashed.
  pub last_crash: Instant,
  /// The banned parts, in ascending order. A request is refused if it has all of them; there is
  /// more than one while nothing tells which of them is to blame.
  pub parts: Vec<u64>,
}

impl Ban {
  /// Returns whether the ban covers a request with the given shared prompt parts.
  pub fn covers(&self, parts: &[u64]) -> bool {
    is_subset(&self.parts, parts)
  }
}

/// Returns whether all of `parts` are in `others`.
pub fn is_subset(parts: &[u64], others: &[u64]) -> bool {
  parts.iter().all(|part| others.contains(part))
}
