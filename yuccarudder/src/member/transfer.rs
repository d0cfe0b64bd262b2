//! Transfer of the catalog from one host to another.

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

/// Pause after a failed accept, so that a lasting error does not keep a core busy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest size of a decompressed catalog, equal to that of a frame, so that malformed data
/// cannot exhaust the memory.
const MAX_CATALOG_BYTES: u64 = 4 << 20;
const MAX_FRAME_BYTES: usize = 4 << 20;
const PREFIX: &str = "member";
const TIMEOUT: Duration = Duration::from_secs(2);

/// Request for the catalog.
#[derive(Clone, PartialEq, prost::Message)]
struct Request {
  /// Version that the requesting host has; only a newer catalog is sent.
  #[prost(uint64, tag = "1")]
  above: u64,
}

/// Response with the published catalog.
#[derive(Clone, PartialEq, prost::Message)]
struct Response {
  /// The compressed catalog; empty if there is no newer one.
  #[prost(bytes = "bytes", tag = "1")]
  bytes: Bytes,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
  let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
  Framed::new(stream, codec)
}

/// Fetches the catalog of another host if it is newer than version `above`.
///
/// Returns no bytes if it is not.
///
/// # Errors
///
/// Fails when the other host cannot be reached, does not respond in time, or sends a response
/// that cannot be decoded.
pub async fn fetch_catalog(address: SocketAddr, above: u64) -> anyhow::Result<Bytes> {
  let response = async {
    let mut frames = framed(TcpStream::connect(address).await?);
    let request = Bytes::from(Request { above }.encode_to_vec());
    frames.send(request).await?;
    let frame = frames.next().await.context("the other host closed the connection")??;
    decompress_catalog(&Response::decode(frame)?.bytes)
  };
  time::timeout(TIMEOUT, response).await.context("the other host did not respond in time")?
}

/// Compresses a published catalog: its many routes are similar, and links may be slow.
pub fn compress_catalog(catalog: &[u8]) -> Bytes {
  let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
  encoder.write_all(catalog).expect("writing to memory cannot fail");
  encoder.finish().expect("writing to memory cannot fail").into()
}

fn decompress_catalog(compressed: &[u8]) -> anyhow::Result<Bytes> {
  if compressed.is_empty() {
    return Ok(Bytes::new());
  }
  let mut catalog = Vec::new();
  ZlibDecoder::new(compressed).take(MAX_CATALOG_BYTES).read_to_end(&mut catalog)?;
  Ok(catalog.into())
}

/// Serves the catalog to other hosts until the task is dropped.
///
/// `catalog` returns the compressed catalog if it is newer than a version, or no bytes.
pub async fn serve_catalog(
  listener: TcpListener,
  catalog: Arc<dyn Fn(u64) -> Bytes + Send + Sync>,
) {
  loop {
    let stream = match listener.accept().await {
      Ok((stream, _)) => stream,
      Err(error) => {
        log::warn!(target: PREFIX, error:% = error; "Failed to accept a connection from another host.");
        time::sleep(ACCEPT_RETRY_DELAY).await;
        continue;
      }
    };
    let catalog = Arc::clone(&catalog);
    tokio::spawn(time::timeout(TIMEOUT, async move {
      if let Err(error) = respond(stream, &*catalog).await {
        log::debug!(target: PREFIX, error:% = error; "Failed to send the catalog to another host.");
      }
    }));
  }
}

async fn respond(
  stream: TcpStream,
  catalog: &(dyn Fn(u64) -> Bytes + Send + Sync),
) -> anyhow::Result<()> {
  let mut frames = framed(stream);
  let frame = frames.next().await.context("the other host closed the connection")??;
  let bytes = catalog(Request::decode(frame)?.above);
  let response = Bytes::from(Response { bytes }.encode_to_vec());
  frames.send(response).await?;
  Ok(())
}
