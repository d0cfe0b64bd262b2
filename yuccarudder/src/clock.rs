//! The clock interface passed to every part that needs the time.

use std::{
  fmt,
  sync::Arc,
  time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of monotonic and wall time.
#[derive(Clone)]
pub struct Clock {
  now: Arc<dyn Fn() -> Instant + Send + Sync>,
  wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
  /// Builds a clock from two closures.
  pub fn new(
    now: impl Fn() -> Instant + Send + Sync + 'static,
    wall: impl Fn() -> SystemTime + Send + Sync + 'static,
  ) -> Self {
    Self {
      now: Arc::new(now),
      wall: Arc::new(wall),
    }
  }

  /// Returns the monotonic time.
  pub fn now(&self) -> Instant {
    (self.now)()
  }

  /// Returns the process clock, which follows tokio's clock when it is paused.
  pub fn system() -> Self {
    Self::new(|| tokio::time::Instant::now().into_std(), SystemTime::now)
  }

  /// Returns the time since the Unix epoch, zero when the clock is before it.
  pub fn unix(&self) -> Duration {
    self.wall().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
  }

  /// Returns the wall time.
  pub fn wall(&self) -> SystemTime {
    (self.wall)()
  }
}

impl fmt::Debug for Clock {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("Clock")
  }
}
