use {
  super::{Memory, Reservation, memory},
  crate::{
    http::{self, LingeringBody},
    refusal::{Reason, Refusal},
  },
  bytes::Bytes,
  http_body_util::BodyExt,
  hyper::{HeaderMap, body::Body},
};

/// Initial size of the buffer of a body, that of a read: smaller ones leave more gaps between buffers.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Bytes by which a body has to grow to count as progressing, so that single bytes in long intervals do not.
const PROGRESS_BYTES: usize = 1 << 10;

/// A body that was read completely, with its reservation of memory.
#[derive(Debug)]
pub struct BufferedBody {
  /// The body.
  pub bytes: Bytes,
  /// The memory reserved for the body until this is dropped.
  pub reservation: Reservation,
}

impl Memory {
  /// Reads a request body of up to `limit` bytes into reserved memory.
  ///
  /// Reserves the length that the headers announce. A body without a length reserves memory as it grows.
  /// While it is incomplete, the reservation may be evicted for others.
  ///
  /// # Errors
  ///
  /// Refuses a body that is larger, cannot be read to its end, does not fit into the memory left, or has made
  /// no progress for longer than others when memory is needed.
  pub async fn read_body(
    &self,
    headers: &HeaderMap,
    body: LingeringBody,
    limit: u64,
  ) -> Result<BufferedBody, Refusal> {
    let announced = http::content_length(headers, 0);
    if announced > limit {
      return Err(Refusal::not_run(Reason::BodyTooLarge));
    }
    let reservation = self.reserve_evictable(announced)?;
    let limit = if announced > 0 { announced } else { limit };
    fill(body, reservation, limit).await
  }

  /// Reads the body of a response of up to `limit` bytes into memory that is reserved as it grows. While it is
  /// incomplete, the reservation may be evicted for others.
  ///
  /// Returns `None` for a body that is larger, cannot be read to its end, does not fit into the memory left, or
  /// has made no progress for longer than others when memory is needed.
  pub async fn read_response_body<B>(&self, body: B, limit: u64) -> Option<BufferedBody>
  where
    B: Body<Data = Bytes> + Unpin,
  {
    let reservation = self.reserve_evictable(0).ok()?;
    fill(body, reservation, limit).await.ok()
  }
}

/// Reads a body of up to `limit` bytes into the memory of an evictable reservation, which grows with it, and holds
/// the reservation once the body is complete.
async fn fill<B>(body: B, reservation: Reservation, limit: u64) -> Result<BufferedBody, Refusal>
where
  B: Body<Data = Bytes> + Unpin,
{
  let bytes = tokio::select! {
    biased;
    () = reservation.evicted() => return Err(memory::stalled()),
    bytes = read(body, &reservation, usize::try_from(limit).unwrap_or(usize::MAX)) => bytes?,
  };
  reservation.hold()?;
  reservation.shrink(bytes.len() as u64);
  Ok(BufferedBody {
    bytes: bytes.into(),
    reservation,
  })
}

/// Copies a body into one buffer that grows with its reservation. A chunk that is kept would keep the whole
/// read buffer of its connection.
async fn read<B: Body<Data = Bytes> + Unpin>(
  mut body: B,
  reservation: &Reservation,
  limit: usize,
) -> Result<Vec<u8>, Refusal> {
  let too_large = || Refusal::not_run(Reason::BodyTooLarge);
  let mut bytes = Vec::new();
  let mut unrecorded = 0;
  while let Some(frame) = body.frame().await {
    let Ok(data) = frame.map_err(|_| too_large())?.into_data() else {
      continue;
    };
    let length = bytes.len() + data.len();
    if length > limit {
      return Err(too_large());
    }
    if length > bytes.capacity() {
      let capacity = length.max(2 * bytes.capacity()).max(MIN_BUFFER_BYTES).min(limit);
      reservation.grow(capacity as u64)?;
      bytes.reserve_exact(capacity - bytes.len());
    }
    bytes.extend_from_slice(&data);
    unrecorded += data.len();
    if unrecorded >= PROGRESS_BYTES {
      reservation.record_progress();
      unrecorded = 0;
    }
  }
  Ok(bytes)
}
