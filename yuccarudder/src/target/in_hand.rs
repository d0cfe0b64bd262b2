use super::{Key, Targets};

/// Counts one job in hand at a target until it is dropped.
#[derive(Debug)]
pub struct InHand {
  key: Key,
  targets: Targets,
}

impl InHand {
  pub(super) fn new(targets: Targets, key: Key) -> Self {
    Self { key, targets }
  }

  /// Returns the key of the target.
  pub fn key(&self) -> Key {
    self.key
  }
}

impl Drop for InHand {
  fn drop(&mut self) {
    self.targets.release(self.key);
  }
}
