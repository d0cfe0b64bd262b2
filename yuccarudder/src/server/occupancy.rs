use {
  crate::{limit::Reservation, refusal::Refusal},
  std::sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Memory that a connection without a long head takes up with its buffers and its state: 23 kB as measured with
/// 1,395 connections. A request takes two descriptors, one for its target, so half of the memory of a host has
/// room for the callers of as many requests as the host has descriptors for: 1,790 connections in 88 MB.
pub const CONNECTION_BYTES: u64 = 24 << 10;
/// Bytes of a request head that the initial read buffer holds.
const HEAD_BYTES: u64 = 8 << 10;

/// The memory that a connection takes up. Between two requests, it may be closed to make room for others.
#[derive(Debug)]
pub struct Occupancy {
  /// Whether a request is in progress.
  has_request: AtomicBool,
  /// Bytes that were read since the last request began.
  head_bytes: AtomicU64,
  reservation: Reservation,
}

impl Occupancy {
  /// Takes over the reservation of a connection.
  pub fn new(reservation: Reservation) -> Self {
    Self {
      has_request: AtomicBool::new(false),
      head_bytes: AtomicU64::new(0),
      reservation,
    }
  }

  /// Returns whether a request is in progress.
  pub fn has_request(&self) -> bool {
    self.has_request.load(Ordering::Relaxed)
  }

  /// Records the begin of a request, whose head is no longer in the read buffer.
  pub fn begin_request(&self) {
    self.has_request.store(true, Ordering::Relaxed);
    // A connection that has been closed in the meantime gets no response.
    let _ = self.reservation.hold();
    self.head_bytes.store(0, Ordering::Relaxed);
    self.reservation.shrink(CONNECTION_BYTES);
  }

  /// Records that the response to a request has been passed on.
  pub fn end_request(&self) {
    self.has_request.store(false, Ordering::Relaxed);
    self.head_bytes.store(0, Ordering::Relaxed);
    self.reservation.release();
  }

  /// Waits until the connection has to be closed.
  pub async fn evicted(&self) {
    self.reservation.evicted().await;
  }

  /// Records bytes that were read. Those of a head stay in the read buffer, which grows by doubling.
  ///
  /// # Errors
  ///
  /// Refuses when there is no memory left for the head.
  pub fn record_read(&self, bytes: u64) -> Result<(), Refusal> {
    if !self.reservation.is_evictable() {
      return Ok(());
    }
    let head_bytes = self.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
    let growth = 2 * head_bytes.saturating_sub(HEAD_BYTES);
    self.reservation.grow(CONNECTION_BYTES + growth)?;
    self.reservation.record_progress();
    Ok(())
  }

  /// Records that bytes were written.
  pub fn record_write(&self) {
    self.reservation.record_progress();
  }
}
