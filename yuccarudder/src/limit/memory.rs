use {
  crate::refusal::{Reason, Refusal},
  std::{sync::Arc, time::Duration},
  tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

const RETRY: Duration = Duration::from_millis(500);
const UNIT_BYTES: u64 = 1024;

/// Memory of one host for bodies and answers that it holds whole.
#[derive(Clone, Debug)]
pub struct Memory {
  units: Arc<Semaphore>,
}

impl Memory {
  /// Builds a memory of `bytes`.
  pub fn new(bytes: u64) -> Self {
    let units = usize::try_from(bytes / UNIT_BYTES).unwrap_or(Semaphore::MAX_PERMITS);
    Self {
      units: Arc::new(Semaphore::new(units)),
    }
  }

  /// Reserves room for `bytes`, rounded up to whole KiB.
  ///
  /// # Errors
  ///
  /// Refuses when there is not enough room left.
  pub fn reserve(&self, bytes: u64) -> Result<Reservation, Refusal> {
    let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok();
    units
      .and_then(|units| Arc::clone(&self.units).try_acquire_many_owned(units).ok())
      .map(|units| Reservation { units })
      .ok_or_else(|| Refusal::not_run(Reason::HostBusy).with_retry_after(RETRY))
  }
}

/// Room that is given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
  units: OwnedSemaphorePermit,
}

impl Reservation {
  /// Gives back all but the room for `bytes`.
  pub fn shrink(&mut self, bytes: u64) {
    let kept = usize::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(usize::MAX);
    let surplus = self.units.num_permits().saturating_sub(kept);
    drop(self.units.split(surplus));
  }
}
