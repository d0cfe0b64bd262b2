use {
  std::{pin::Pin, time::Instant},
  tokio::time::{self, Sleep},
};

/// A timeout whose deadline moves with every token.
///
/// The underlying sleep is only reset when it fires or when the deadline moves to an earlier time:
/// resetting it for every token would cost more than relaying the token.
pub struct Watchdog {
  deadline: Instant,
  sleep: Pin<Box<Sleep>>,
}

impl Watchdog {
  /// Waits until the deadline has passed.
  pub async fn expired(&mut self) {
    loop {
      self.sleep.as_mut().await;
      if self.sleep.deadline().into_std() >= self.deadline {
        return;
      }
      self.sleep.as_mut().reset(self.deadline.into());
    }
  }

  /// Creates a watchdog that expires at `deadline`.
  pub fn new(deadline: Instant) -> Self {
    Self {
      deadline,
      sleep: Box::pin(time::sleep_until(deadline.into())),
    }
  }

  /// Moves the deadline.
  pub fn reset(&mut self, deadline: Instant) {
    self.deadline = deadline;
    if self.sleep.deadline().into_std() > deadline {
      self.sleep.as_mut().reset(deadline.into());
    }
  }
}
