use std::{
  sync::{Arc, Mutex, MutexGuard, PoisonError},
  time::{Duration, Instant},
};

#[derive(Clone, Copy, Debug, Default)]
struct State {
  joined: bool,
  last_heard: Option<Instant>,
}

/// Time of the last contact with the platform or another host.
///
/// Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Contact {
  state: Arc<Mutex<State>>,
}

impl Contact {
  /// Returns whether the last contact is longer than `bound` ago, or there was none.
  pub fn is_isolated(&self, now: Instant, bound: Duration) -> bool {
    let last_heard = self.lock().last_heard;
    last_heard.is_none_or(|at| now.saturating_duration_since(at) > bound)
  }

  /// Returns whether the process has completed its first round of exchanges with other hosts,
  /// whether or not they responded.
  pub fn is_joined(&self) -> bool {
    self.lock().joined
  }

  /// Records that the first round of exchanges with other hosts is complete.
  pub fn record_joined(&self) {
    self.lock().joined = true;
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Records that the platform or another host responded at `now`.
  pub fn record_heard(&self, now: Instant) {
    let mut state = self.lock();
    state.last_heard = state.last_heard.max(Some(now));
  }
}
