use std::{
  sync::{Arc, Mutex, MutexGuard, PoisonError},
  time::{Duration, Instant},
};

#[derive(Clone, Copy, Debug, Default)]
struct State {
  joined: bool,
  last: Option<Instant>,
}

/// When a host last heard from the platform or from another host.
#[derive(Clone, Debug, Default)]
pub struct Contact {
  state: Arc<Mutex<State>>,
}

impl Contact {
  /// Returns whether nothing was heard for longer than `bound`.
  pub fn is_isolated(&self, now: Instant, bound: Duration) -> bool {
    let last = self.lock().last;
    last.is_none_or(|last| now.saturating_duration_since(last) > bound)
  }

  /// Returns whether the host has asked its peers since it started.
  pub fn is_joined(&self) -> bool {
    self.lock().joined
  }

  /// Records that the host has asked its peers.
  pub fn record_joined(&self) {
    self.lock().joined = true;
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Records that the platform or another host was heard.
  pub fn record_heard(&self, now: Instant) {
    let mut state = self.lock();
    state.last = state.last.max(Some(now));
  }
}
