use std::sync::{Arc, Mutex, PoisonError};

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
  #[default]
  Unused,
  Revoked,
  Acquired,
}

/// The permission to send one job, shared by the sender and the code that cancels the job.
///
/// If the permit is revoked before it is acquired, no byte of the job can be sent later.
#[derive(Clone, Debug, Default)]
pub struct SendPermit {
  state: Arc<Mutex<State>>,
}

impl SendPermit {
  /// Revokes the permit unless it was acquired; returns whether it is revoked.
  pub fn revoke(&self) -> bool {
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    if *state == State::Unused {
      *state = State::Revoked;
    }
    *state == State::Revoked
  }

  /// Acquires the permit and returns whether that succeeded.
  ///
  /// With `repeatable`, a permit that was acquired before can be acquired again.
  pub fn acquire(&self, repeatable: bool) -> bool {
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    let acquired = match *state {
      State::Unused => true,
      State::Revoked => false,
      State::Acquired => repeatable,
    };
    if acquired {
      *state = State::Acquired;
    }
    acquired
  }

  /// Returns whether the permit has been acquired.
  pub fn is_acquired(&self) -> bool {
    *self.state.lock().unwrap_or_else(PoisonError::into_inner) == State::Acquired
  }
}
