use std::sync::{Arc, Mutex, PoisonError};

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
  #[default]
  Open,
  Revoked,
  Sent,
}

/// The right to send one job, shared by the sender and by whoever gives up on it.
///
/// Once revoked unsent, no byte of the job can leave any more.
#[derive(Clone, Debug, Default)]
pub struct SendPermit {
  state: Arc<Mutex<State>>,
}

impl SendPermit {
  /// Revokes the right; returns whether it had never been taken.
  pub fn revoke(&self) -> bool {
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    if *state == State::Open {
      *state = State::Revoked;
    }
    *state == State::Revoked
  }

  /// Takes the right; `repeatable` allows it to be taken again.
  pub fn acquire(&self, repeatable: bool) -> bool {
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    let granted = match *state {
      State::Open => true,
      State::Revoked => false,
      State::Sent => repeatable,
    };
    if granted {
      *state = State::Sent;
    }
    granted
  }

  /// Returns whether the right was taken.
  pub fn is_acquired(&self) -> bool {
    *self.state.lock().unwrap_or_else(PoisonError::into_inner) == State::Sent
  }
}
