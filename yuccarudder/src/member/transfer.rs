//! How a host takes a catalog from another one.

use {
  anyhow::Context,
  bytes::Bytes,
  flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder},
  futures::{SinkExt, StreamExt},
  prost::Message,
  std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
  },
  tokio::{
    net::{TcpListener, TcpStream},
    time,
  },
  tokio_util::codec::{Framed, LengthDelimitedCodec},
};

const ACCEPT_DELAY: Duration = Duration::from_millis(50);
/// Largest catalog: as the largest frame, so that a broken one cannot take all memory.
const MAX_CATALOG_BYTES: u64 = 4 << 20;
const MAX_FRAME_BYTES: usize = 4 << 20;
const PREFIX: &str = "member";
const TIMEOUT: Duration = Duration::from_secs(2);

/// Asks for the catalog.
#[derive(Clone, PartialEq, prost::Message)]
struct Request {
  /// The version that the asking host has; an older one is not sent.
  #[prost(uint64, tag = "1")]
  above: u64,
}

/// The catalog as it was published, compressed; empty when there is no newer one.
#[derive(Clone, PartialEq, prost::Message)]
struct Document {
  #[prost(bytes = "bytes", tag = "1")]
  bytes: Bytes,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
  let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
  Framed::new(stream, codec)
}

/// Takes the catalog of another host if it is newer than version `above`.
///
/// # Errors
///
/// Fails when the other host cannot be reached or gives no answer in time.
pub async fn fetch_catalog(address: SocketAddr, above: u64) -> anyhow::Result<Bytes> {
  let exchange = async {
    let mut frames = framed(TcpStream::connect(address).await?);
    let request = Bytes::from(Request { above }.encode_to_vec());
    frames.send(request).await?;
    let frame = frames.next().await.context("the connection ended")??;
    unpack(&Document::decode(frame)?.bytes)
  };
  time::timeout(TIMEOUT, exchange).await.context("no answer in time")?
}

/// Compresses a published catalog: its many routes are alike, and links may be slow.
pub fn compress_catalog(catalog: &[u8]) -> Bytes {
  let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
  encoder.write_all(catalog).expect("memory takes all bytes");
  encoder.finish().expect("memory takes all bytes").into()
}

fn unpack(packed: &[u8]) -> anyhow::Result<Bytes> {
  if packed.is_empty() {
    return Ok(Bytes::new());
  }
  let mut catalog = Vec::new();
  ZlibDecoder::new(packed).take(MAX_CATALOG_BYTES).read_to_end(&mut catalog)?;
  Ok(catalog.into())
}

/// Answers the other hosts; `catalog` returns the compressed catalog above a version.
pub async fn serve_catalog(
  listener: TcpListener,
  catalog: Arc<dyn Fn(u64) -> Bytes + Send + Sync>,
) {
  loop {
    let stream = match listener.accept().await {
      Ok((stream, _)) => stream,
      Err(error) => {
        log::warn!(target: PREFIX, error:% = error; "Cannot accept a connection of another host.");
        time::sleep(ACCEPT_DELAY).await;
        continue;
      }
    };
    let catalog = Arc::clone(&catalog);
    tokio::spawn(time::timeout(TIMEOUT, async move {
      if let Err(error) = answer(stream, &*catalog).await {
        log::debug!(target: PREFIX, error:% = error; "Another host broke off.");
      }
    }));
  }
}

async fn answer(
  stream: TcpStream,
  catalog: &(dyn Fn(u64) -> Bytes + Send + Sync),
) -> anyhow::Result<()> {
  let mut frames = framed(stream);
  let frame = frames.next().await.context("the connection ended")??;
  let bytes = catalog(Request::decode(frame)?.above);
  let document = Bytes::from(Document { bytes }.encode_to_vec());
  frames.send(document).await?;
  Ok(())
}
