use std::time::{Duration, Instant};

/// When the events of a stream came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
  /// When the first one came.
  pub first: Option<Instant>,
  last: Option<Instant>,
  /// The longest time between two.
  pub longest: Duration,
}

impl Timing {
  /// Records events that came together.
  pub fn event(&mut self, now: Instant) {
    self.first = self.first.or(Some(now));
    if let Some(last) = self.last.replace(now) {
      self.longest = self.longest.max(now.saturating_duration_since(last));
    }
  }
}
