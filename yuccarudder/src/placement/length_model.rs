use libm::{erfc, exp, log, sqrt};

/// Weight of the prior, as a number of observed responses.
const PRIOR_RESPONSES: f64 = 10.0;
/// Prior standard deviation of the logarithm of a length.
const PRIOR_LENGTH_DEVIATION: f64 = 0.9;
/// Prior median length, as a fraction of the maximum number of tokens.
const PRIOR_LENGTH_FRACTION: f64 = 0.25;
/// Prior standard deviation of the error of a hint, on the logarithmic scale.
const PRIOR_ERROR_DEVIATION: f64 = 1.2;
/// Maximum weight of past responses, as a number of responses. It bounds the influence of old
/// responses, so that the model follows changes.
const MAX_RESPONSES: f64 = 400.0;

/// A moving mean and variance.
#[derive(Clone, Copy, Debug)]
struct Moments {
  count: f64,
  mean: f64,
  variance: f64,
}

impl Moments {
  fn add(&mut self, value: f64) {
    self.count = (self.count + 1.0).min(MAX_RESPONSES);
    let weight = 1.0 / self.count;
    let difference = value - self.mean;
    self.mean += weight * difference;
    self.variance += weight * (difference * difference * (1.0 - weight) - self.variance);
  }
}

/// Predicts the lengths, in tokens, of the responses of a route.
///
/// Lengths are modelled as log-normal, since the lengths of generations have a heavy tail.
/// The length hint of a caller is weighted by how accurate earlier hints were.
#[derive(Clone, Copy, Debug)]
pub struct LengthModel {
  /// Logarithms of the ratios of lengths to their hints.
  hint_errors: Moments,
  /// Logarithms of the lengths.
  lengths: Moments,
}

impl LengthModel {
  /// Returns the expected final length of a response that has `generated` tokens so far.
  ///
  /// The result is at most `max_tokens`, unless `generated` exceeds it.
  pub fn predict(&self, hint: Option<u64>, max_tokens: u64, generated: u64) -> u64 {
    let (mean, variance) = self.posterior(hint);
    let deviation = sqrt(variance);
    let unconditional_mean = exp(mean + variance / 2.0);
    let log_generated = log(generated.max(1) as f64);
    let chance_longer = upper_tail((log_generated - mean) / deviation);
    let expected = if chance_longer > f64::EPSILON {
      unconditional_mean * upper_tail((log_generated - mean - variance) / deviation) / chance_longer
    } else {
      generated as f64
    };
    (expected as u64).clamp(generated, max_tokens.max(generated))
  }

  /// Updates the model with the final length of a complete response.
  pub fn observe(&mut self, hint: Option<u64>, generated: u64) {
    let length = log(generated.max(1) as f64);
    self.lengths.add(length);
    if let Some(hint) = hint {
      self.hint_errors.add(length - log(hint.max(1) as f64));
    }
  }

  /// Creates a model from the prior; `max_tokens` is the maximum length of a response.
  pub fn new(max_tokens: u64) -> Self {
    let moments = |mean: f64, deviation: f64| Moments {
      count: PRIOR_RESPONSES,
      mean,
      variance: deviation * deviation,
    };
    Self {
      hint_errors: moments(0.0, PRIOR_ERROR_DEVIATION),
      lengths: moments(
        log((max_tokens as f64 * PRIOR_LENGTH_FRACTION).max(1.0)),
        PRIOR_LENGTH_DEVIATION,
      ),
    }
  }

  /// Returns the mean and variance of the logarithm of a length, given the hint.
  fn posterior(&self, hint: Option<u64>) -> (f64, f64) {
    let Moments { mean, variance, .. } = self.lengths;
    let Some(hint) = hint else {
      return (mean, variance);
    };
    // Inverse-variance weighting of the route's lengths and the bias-corrected hint. The weight of
    // the hint has both variances in its divisor, because a hint misses by its own error and by
    // the spread of the lengths around it.
    let error_variance = self.hint_errors.variance;
    let hinted_mean = log(hint.max(1) as f64) + self.hint_errors.mean;
    let weight = variance / (variance + error_variance);
    (
      mean + weight * (hinted_mean - mean),
      variance * (1.0 - weight),
    )
  }
}

/// Returns the probability that a standard normal variable exceeds `x`.
fn upper_tail(x: f64) -> f64 {
  erfc(x / std::f64::consts::SQRT_2) / 2.0
}
