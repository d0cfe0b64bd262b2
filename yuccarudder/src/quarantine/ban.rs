use {
  super::Feature,
  std::time::{Duration, Instant},
};

/// How long an uncertain ban lasts after the last crash: until crashed targets usually serve again,
/// so that the next request either is answered soundly or shows which feature is to blame.
pub const UNCERTAIN_RETENTION: Duration = Duration::from_secs(4);

/// Features that are kept away from the targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ban {
  /// Number of targets that crashed.
  pub crashes: u32,
  /// The banned features, in ascending order. A request is refused if it has all of them; there is
  /// more than one while it is unknown which of them is to blame.
  pub features: Vec<Feature>,
  /// When the first target crashed.
  pub first_crash: Instant,
  /// Whether features of other requests explain the crashes as well, so that one of the bans is
  /// wrong.
  pub is_uncertain: bool,
  /// When the last target crashed.
  pub last_crash: Instant,
}

impl Ban {
  /// Returns whether the ban covers a request with the given features.
  pub fn covers(&self, features: &[Feature]) -> bool {
    is_subset(&self.features, features)
  }

  /// Returns until when an uncertain ban lasts.
  pub fn uncertain_until(&self) -> Instant {
    self.last_crash + UNCERTAIN_RETENTION
  }
}

/// Returns whether all of `features` are in `others`.
pub fn is_subset(features: &[Feature], others: &[Feature]) -> bool {
  features.iter().all(|feature| others.contains(feature))
}
