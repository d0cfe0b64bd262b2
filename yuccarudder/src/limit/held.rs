use {
  super::{Memory, Reserved},
  crate::{
    http::{self, Lingering},
    refusal::{Reason, Refusal},
  },
  bytes::Bytes,
  hyper::HeaderMap,
};

/// A body that is held whole, with the room that it takes.
#[derive(Debug)]
pub struct Held {
  /// The bytes.
  pub bytes: Bytes,
  /// Their room.
  pub reserved: Reserved,
}

impl Memory {
  /// Reads a request body of up to `limit` bytes, reserving what its headers announce.
  ///
  /// # Errors
  ///
  /// Refuses a body that is larger, breaks off or finds no room.
  pub async fn hold(
    &self,
    headers: &HeaderMap,
    body: Lingering,
    limit: u64,
  ) -> Result<Held, Refusal> {
    let too_large = || Refusal::not_run(Reason::BodyTooLarge);
    let announced = http::announced(headers, limit);
    if announced > limit {
      return Err(too_large());
    }
    let mut reserved = self.reserve(announced)?;
    let bytes = http::collect(body, announced).await.ok_or_else(too_large)?;
    reserved.shrink(bytes.len() as u64);
    Ok(Held { bytes, reserved })
  }
}
