use libm::{erfc, exp, log, sqrt};

/// Answers that the assumptions before the first answer count for.
const PRIOR_ANSWERS: f64 = 10.0;
/// Spread of the logarithm of lengths before the first answer.
const PRIOR_SPREAD: f64 = 0.9;
/// Share of the most tokens allowed that an answer is taken to have before the first one.
const PRIOR_SHARE: f64 = 0.25;
/// Spread of the logarithm of an estimate's error before the first answer.
const PRIOR_ERROR: f64 = 1.2;
/// Answers after which older ones count for less.
const MEMORY: f64 = 400.0;

/// A moving mean and variance.
#[derive(Clone, Copy, Debug)]
struct Moments {
  count: f64,
  mean: f64,
  variance: f64,
}

impl Moments {
  fn add(&mut self, value: f64) {
    self.count = (self.count + 1.0).min(MEMORY);
    let share = 1.0 / self.count;
    let difference = value - self.mean;
    self.mean += share * difference;
    self.variance += share * (difference * difference * (1.0 - share) - self.variance);
  }
}

/// How long the answers of a route are.
///
/// Lengths are taken to be log-normal, which has the heavy tail that generations show.
/// The caller's estimate is weighed by how well earlier ones were.
#[derive(Clone, Copy, Debug)]
pub struct LengthModel {
  errors: Moments,
  lengths: Moments,
}

impl LengthModel {
  /// Returns the tokens that an answer will have in the end, which has some already.
  pub fn predict(&self, hint: Option<u64>, most: u64, generated: u64) -> u64 {
    let (mean, variance) = self.posterior(hint);
    let spread = sqrt(variance);
    let whole = exp(mean + variance / 2.0);
    let so_far = log(generated.max(1) as f64);
    let longer = tail((so_far - mean) / spread);
    let expected = if longer > f64::EPSILON {
      whole * tail((so_far - mean - variance) / spread) / longer
    } else {
      generated as f64
    };
    (expected as u64).clamp(generated, most.max(generated))
  }

  /// Learns from a whole answer.
  pub fn observe(&mut self, hint: Option<u64>, generated: u64) {
    let length = log(generated.max(1) as f64);
    self.lengths.add(length);
    if let Some(hint) = hint {
      self.errors.add(length - log(hint.max(1) as f64));
    }
  }

  /// Starts without any answer; `most` is the most tokens allowed.
  pub fn new(most: u64) -> Self {
    let moments = |mean: f64, spread: f64| Moments {
      count: PRIOR_ANSWERS,
      mean,
      variance: spread * spread,
    };
    Self {
      errors: moments(0.0, PRIOR_ERROR),
      lengths: moments(log((most as f64 * PRIOR_SHARE).max(1.0)), PRIOR_SPREAD),
    }
  }

  /// Returns mean and variance of the logarithm of a length.
  fn posterior(&self, hint: Option<u64>) -> (f64, f64) {
    let Moments { mean, variance, .. } = self.lengths;
    let Some(hint) = hint else {
      return (mean, variance);
    };
    // What an estimate misses by is its own spread and that of the lengths around it.
    let error = self.errors.variance;
    let estimate = log(hint.max(1) as f64) + self.errors.mean;
    let weight = variance / (variance + error);
    (mean + weight * (estimate - mean), variance * (1.0 - weight))
  }
}

/// Returns the chance that a standard normal value is above `x`.
fn tail(x: f64) -> f64 {
  erfc(x / std::f64::consts::SQRT_2) / 2.0
}
