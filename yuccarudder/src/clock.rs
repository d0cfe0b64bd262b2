//! The clock interface passed to every part that needs the time.

use {
  nix::time::{ClockId, clock_gettime},
  std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
  },
};

/// A source of monotonic and wall time.
#[derive(Clone)]
pub struct Clock {
  boot: Arc<dyn Fn() -> Duration + Send + Sync>,
  now: Arc<dyn Fn() -> Instant + Send + Sync>,
  wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
  /// Returns the time since the machine started, with the time that it was suspended.
  pub fn since_boot(&self) -> Duration {
    (self.boot)()
  }

  /// Builds a clock from two closures; no time counts as suspended.
  pub fn new(
    now: impl Fn() -> Instant + Send + Sync + 'static,
    wall: impl Fn() -> SystemTime + Send + Sync + 'static,
  ) -> Self {
    let now = Arc::new(now);
    let start = now();
    let boot = Arc::clone(&now);
    Self {
      boot: Arc::new(move || boot().saturating_duration_since(start)),
      now,
      wall: Arc::new(wall),
    }
  }

  /// Returns the monotonic time.
  pub fn now(&self) -> Instant {
    (self.now)()
  }

  /// Returns the process clock, which follows tokio's clock when it is paused.
  pub fn system() -> Self {
    let clock = Self::new(|| tokio::time::Instant::now().into_std(), SystemTime::now);
    let monotonic = Arc::clone(&clock.boot);
    clock.with_boot_clock(move || match clock_gettime(ClockId::CLOCK_BOOTTIME) {
      Ok(time) => Duration::from(time),
      Err(_) => monotonic(),
    })
  }

  /// Returns the time since the Unix epoch, zero when the clock is before it.
  pub fn unix_time(&self) -> Duration {
    self.wall().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
  }

  /// Returns the wall time.
  pub fn wall(&self) -> SystemTime {
    (self.wall)()
  }

  /// Replaces the clock that counts suspended time.
  #[must_use]
  pub fn with_boot_clock(mut self, boot: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
    self.boot = Arc::new(boot);
    self
  }
}

impl fmt::Debug for Clock {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("Clock")
  }
}
