use super::{Key, Targets};

/// A guard that counts one job as in flight at a target until it is dropped.
#[derive(Debug)]
pub struct InFlight {
  key: Key,
  targets: Targets,
}

impl InFlight {
  pub(super) fn new(targets: Targets, key: Key) -> Self {
    Self { key, targets }
  }

  /// Returns the key of the target.
  pub fn key(&self) -> Key {
    self.key
  }
}

impl Drop for InFlight {
  fn drop(&mut self) {
    self.targets.release(self.key);
  }
}
