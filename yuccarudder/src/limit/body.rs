use {
  super::{Memory, Reservation},
  crate::{
    http::{self, LingeringBody},
    refusal::{Reason, Refusal},
  },
  bytes::Bytes,
  hyper::HeaderMap,
};

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
  /// Reserves the length that the headers announce, or `limit` bytes when they announce
  /// none, and releases what the body did not need.
  ///
  /// # Errors
  ///
  /// Refuses a body that is larger, cannot be read to its end, or does not fit into the
  /// memory left.
  pub async fn read_body(
    &self,
    headers: &HeaderMap,
    body: LingeringBody,
    limit: u64,
  ) -> Result<BufferedBody, Refusal> {
    let too_large = || Refusal::not_run(Reason::BodyTooLarge);
    let announced = http::content_length(headers, limit);
    if announced > limit {
      return Err(too_large());
    }
    let mut reservation = self.reserve(announced)?;
    let bytes = http::collect(body, announced).await.ok_or_else(too_large)?;
    reservation.shrink(bytes.len() as u64);
    Ok(BufferedBody { bytes, reservation })
  }
}
