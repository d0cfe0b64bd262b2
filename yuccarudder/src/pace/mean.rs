use libm::{exp, log};

/// Weight after which earlier values count about half, in seconds of streams.
const MEMORY: f64 = 60.0;

/// A moving geometric mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
  logarithms: f64,
  weight: f64,
}

impl Mean {
  /// Adds a positive value.
  pub fn add(&mut self, value: f64, weight: f64) {
    let kept = MEMORY / (MEMORY + weight);
    self.logarithms = self.logarithms * kept + log(value) * weight;
    self.weight = self.weight * kept + weight;
  }

  /// Returns the mean; `None` without values.
  pub fn value(&self) -> Option<f64> {
    (self.weight > 0.0).then(|| exp(self.logarithms / self.weight))
  }
}
