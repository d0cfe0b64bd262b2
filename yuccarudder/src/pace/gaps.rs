use {super::hazard, std::time::Instant};

/// Number of gaps from which the record of a target counts as much as the mean of the others.
const PRIOR_GAPS: f64 = 32.0;
/// Largest number of gaps that counts for the weight of a record, so that each one fades within minutes.
const MAX_WEIGHT_GAPS: f64 = 512.0;
/// Bounds of the mean gap, in seconds.
const MIN_GAP: f64 = 0.001;
const MAX_GAP: f64 = 10.0;

/// The gaps of the streams of one target; old ones count less.
#[derive(Clone, Copy, Debug)]
pub struct Gaps {
  count: f64,
  seconds: f64,
  updated_at: Instant,
}

/// Returns the sum of some gaps, in seconds, within the bounds of their mean; `None` without gaps.
pub fn bounded_seconds(count: u32, seconds: f64) -> Option<f64> {
  let count = f64::from(count);
  (count > 0.0).then(|| seconds.clamp(count * MIN_GAP, count * MAX_GAP))
}

impl Gaps {
  /// Adds `count` gaps, which must not be zero, of `seconds` together.
  pub fn add(&mut self, count: u32, seconds: f64, now: Instant) {
    let kept = hazard::decay(self.updated_at, now);
    self.count = self.count * kept + f64::from(count);
    self.seconds = self.seconds * kept + seconds;
    self.updated_at = self.updated_at.max(now);
  }

  /// Returns the mean, in seconds.
  pub fn mean(&self) -> f64 {
    (self.seconds / self.count).clamp(MIN_GAP, MAX_GAP)
  }

  /// Creates a record without gaps.
  pub fn new(now: Instant) -> Self {
    Self {
      count: 0.0,
      seconds: 0.0,
      updated_at: now,
    }
  }

  /// Returns how much the record counts against the mean of the other targets, from 0 to 1.
  pub fn weight(&self, now: Instant) -> f64 {
    let count = self.count.min(MAX_WEIGHT_GAPS) * hazard::decay(self.updated_at, now);
    count / (count + PRIOR_GAPS)
  }
}
