use {
  super::{Memory, Reservation},
  crate::{
    http::{self, Lingering},
    refusal::{Reason, Refusal},
  },
  bytes::Bytes,
  hyper::HeaderMap,
};

/// A body that is held whole, with the room that it takes.
#[derive(Debug)]
pub struct BufferedBody {
  /// The bytes.
  pub bytes: Bytes,
  /// Their room.
  pub reserved: Reservation,
}

impl Memory {
  /// Reads a request body of up to `limit` bytes, reserving what its headers announce.
  ///
  /// # Errors
  ///
  /// Refuses a body that is larger, breaks off or finds no room.
  pub async fn read_body(
    &self,
    headers: &HeaderMap,
    body: Lingering,
    limit: u64,
  ) -> Result<BufferedBody, Refusal> {
    let too_large = || Refusal::not_run(Reason::BodyTooLarge);
    let announced = http::announced(headers, limit);
    if announced > limit {
      return Err(too_large());
    }
    let mut reserved = self.reserve(announced)?;
    let bytes = http::collect(body, announced).await.ok_or_else(too_large)?;
    reserved.shrink(bytes.len() as u64);
    Ok(BufferedBody { bytes, reserved })
  }
}
