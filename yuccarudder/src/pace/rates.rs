use super::hazard::{BUCKETS, BUCKETS_PER_OCTAVE};

/// How many pauses per second break their limit, by the ratio of the limit to the mean gap of the target.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
  /// Rate of each bucket; they don't rise.
  pub(super) rates: [f64; BUCKETS],
  /// Weight of each bucket, which is positive.
  pub(super) weights: [f64; BUCKETS],
}

impl Rates {
  /// Returns the rate at a ratio. It is interpolated between the middles of the buckets, so that almost equal targets
  /// have almost equal rates, by their weights, so that a bucket without data does not count.
  pub fn at(&self, ratio: f64) -> f64 {
    let last = BUCKETS - 1;
    let position = (libm::log2(ratio) * BUCKETS_PER_OCTAVE - 0.5).clamp(0.0, last as f64);
    // The conversion cuts the fraction off.
    let below = (position as usize).min(last);
    let above = (below + 1).min(last);
    let fraction = position - below as f64;
    let above_weight = fraction * self.weights[above];
    let weight = (1.0 - fraction) * self.weights[below] + above_weight;
    self.rates[below] + above_weight / weight * (self.rates[above] - self.rates[below])
  }
}
