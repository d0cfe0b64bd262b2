use {
  super::{
    evidence::{Evidence, Overlap},
    feature::Feature,
  },
  std::time::Instant,
};

/// Crashes after which a feature is banned that no target has ever answered soundly.
pub const MIN_CRASHES_OF_NEW_FEATURE: usize = 3;

/// A feature that may be to blame for crashes.
pub struct Suspect<'a> {
  /// Times of the crashes that it explains.
  pub crash_times: Vec<Instant>,
  pub evidence: &'a Evidence,
  pub feature: Feature,
  /// Whether no target is known to have answered it soundly.
  pub is_new: bool,
  /// Which crashes at about the same time count.
  pub overlap: Overlap,
}

impl Suspect<'_> {
  /// Returns whether this feature is the likelier cause of the crashes that both explain: it is
  /// under more of them, or occurs only together with the other one, which many sound requests have.
  pub fn explains_better(&self, other: &Self) -> bool {
    let targets = &self.evidence.targets;
    // No request has the contents of two.
    let may_accompany = !self.feature.is_content() || !other.feature.is_content();
    let is_narrower =
      may_accompany && targets.len() < other.evidence.targets.len() && other.covers(self);
    self.crash_times.len() >= MIN_CRASHES_OF_NEW_FEATURE
      && (self.is_new || !other.is_new)
      && (self.crash_times.len() > other.crash_times.len() || is_narrower)
  }

  /// Returns whether all targets that crashed under the other feature crashed under this one.
  pub fn covers(&self, other: &Self) -> bool {
    let others = &other.evidence.targets;
    others.keys().all(|target| self.evidence.targets.contains_key(target))
  }
}
