//! The clock that is passed to every part of the router that needs the time, so that tests can
//! replace it.

use {
  nix::time::{ClockId, clock_gettime},
  std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
  },
};

/// A source of monotonic, wall-clock and boot time.
#[derive(Clone)]
pub struct Clock {
  since_boot: Arc<dyn Fn() -> Duration + Send + Sync>,
  now: Arc<dyn Fn() -> Instant + Send + Sync>,
  wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
  /// Returns the time since the host booted, including time in which it was suspended.
  pub fn since_boot(&self) -> Duration {
    (self.since_boot)()
  }

  /// Creates a clock from a monotonic and a wall clock; its boot time starts now and counts
  /// no suspension.
  pub fn new(
    now: impl Fn() -> Instant + Send + Sync + 'static,
    wall: impl Fn() -> SystemTime + Send + Sync + 'static,
  ) -> Self {
    let now = Arc::new(now);
    let start = now();
    let monotonic = Arc::clone(&now);
    Self {
      since_boot: Arc::new(move || monotonic().saturating_duration_since(start)),
      now,
      wall: Arc::new(wall),
    }
  }

  /// Returns the monotonic time.
  pub fn now(&self) -> Instant {
    (self.now)()
  }

  /// Returns the clock of the system; its monotonic time is tokio's, which tests can pause.
  pub fn system() -> Self {
    let clock = Self::new(|| tokio::time::Instant::now().into_std(), SystemTime::now);
    let monotonic = Arc::clone(&clock.since_boot);
    clock.with_boot_clock(move || match clock_gettime(ClockId::CLOCK_BOOTTIME) {
      Ok(time) => Duration::from(time),
      Err(_) => monotonic(),
    })
  }

  /// Returns the time since the Unix epoch, or zero if the wall clock is before it.
  pub fn unix_time(&self) -> Duration {
    self.wall().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
  }

  /// Returns the wall-clock time.
  pub fn wall(&self) -> SystemTime {
    (self.wall)()
  }

  /// Replaces the source of the time since boot.
  #[must_use]
  pub fn with_boot_clock(mut self, boot: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
    self.since_boot = Arc::new(boot);
    self
  }
}

impl fmt::Debug for Clock {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("Clock")
  }
}
