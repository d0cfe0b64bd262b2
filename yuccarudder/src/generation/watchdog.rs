use {
  std::{pin::Pin, time::Instant},
  tokio::time::{self, Sleep},
};

/// A timer that is put off with every token.
///
/// The underlying sleep is only moved when it fires or must fire earlier, since
/// moving it for each token of each stream costs more than the token itself.
pub struct Watchdog {
  due: Instant,
  sleep: Pin<Box<Sleep>>,
}

impl Watchdog {
  /// Waits until the time it was last put off to.
  pub async fn expired(&mut self) {
    loop {
      self.sleep.as_mut().await;
      if self.sleep.deadline().into_std() >= self.due {
        return;
      }
      self.sleep.as_mut().reset(self.due.into());
    }
  }

  /// Builds a timer that expires at `due`.
  pub fn new(due: Instant) -> Self {
    Self {
      due,
      sleep: Box::pin(time::sleep_until(due.into())),
    }
  }

  /// Makes the timer expire at `due` instead.
  pub fn put_off(&mut self, due: Instant) {
    self.due = due;
    if self.sleep.deadline().into_std() > due {
      self.sleep.as_mut().reset(due.into());
    }
  }
}
