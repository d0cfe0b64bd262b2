use {
  super::Heartbeat,
  bytes::{Bytes, BytesMut},
  prost::Message,
  std::io,
  tokio_util::codec::{Decoder, Encoder},
};

/// Codec of datagrams that hold one heartbeat each, which it yields with their sizes in bytes.
///
/// A datagram that cannot be decoded yields `None` and no error, so that it does not end the
/// stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

impl Decoder for Codec {
  type Item = (Option<Heartbeat>, usize);
  type Error = io::Error;

  fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Self::Item>> {
    if buffer.is_empty() {
      return Ok(None);
    }
    let datagram = buffer.split();
    let size = datagram.len();
    Ok(Some((Heartbeat::decode(datagram).ok(), size)))
  }
}

impl Encoder<Bytes> for Codec {
  type Error = io::Error;

  fn encode(&mut self, datagram: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
    buffer.extend_from_slice(&datagram);
    Ok(())
  }
}
