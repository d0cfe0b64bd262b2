use {
  crate::refusal::{Reason, Refusal},
  std::{sync::Arc, time::Duration},
  tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Retry time suggested to a refused caller.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Bytes that one permit of the semaphore stands for.
const UNIT_BYTES: u64 = 1024;

/// A budget of memory on one host for request bodies and answers that are fully buffered.
#[derive(Clone, Debug)]
pub struct Memory {
  units: Arc<Semaphore>,
}

impl Memory {
  /// Creates a budget of `bytes`, rounded down to whole KiB.
  pub fn new(bytes: u64) -> Self {
    let units = usize::try_from(bytes / UNIT_BYTES).unwrap_or(Semaphore::MAX_PERMITS);
    Self {
      units: Arc::new(Semaphore::new(units)),
    }
  }

  /// Reserves `bytes`, rounded up to whole KiB.
  ///
  /// # Errors
  ///
  /// Refuses when less than that is left.
  pub fn reserve(&self, bytes: u64) -> Result<Reservation, Refusal> {
    let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok();
    units
      .and_then(|units| Arc::clone(&self.units).try_acquire_many_owned(units).ok())
      .map(|permit| Reservation { permit })
      .ok_or_else(|| Refusal::not_run(Reason::HostBusy).with_retry_after(RETRY_AFTER))
  }
}

/// Reserved memory, released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
  permit: OwnedSemaphorePermit,
}

impl Reservation {
  /// Releases all but `bytes`, rounded up to whole KiB.
  pub fn shrink(&mut self, bytes: u64) {
    let kept = usize::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(usize::MAX);
    let surplus = self.permit.num_permits().saturating_sub(kept);
    drop(self.permit.split(surplus));
  }
}
