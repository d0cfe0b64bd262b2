use std::time::{Duration, Instant};

/// Arrival times of the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
  /// When the initial event arrived.
  pub first_event: Option<Instant>,
  last_event: Option<Instant>,
  /// The maximum time between two consecutive events.
  pub longest_pause: Duration,
}

impl Timing {
  /// Returns when the last event arrived.
  pub fn last_event(&self) -> Option<Instant> {
    self.last_event
  }

  /// Records the arrival of one or more events.
  pub fn record_event(&mut self, now: Instant) {
    self.first_event = self.first_event.or(Some(now));
    if let Some(last_event) = self.last_event.replace(now) {
      self.longest_pause = self.longest_pause.max(now.saturating_duration_since(last_event));
    }
  }
}
