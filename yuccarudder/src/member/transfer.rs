//! Calls between hosts: transfer of the catalog, and questions whether a target can be reached.

use {
  crate::limit::{Memory, Reservation},
  anyhow::{Context, anyhow},
  bytes::Bytes,
  flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder},
  futures::{SinkExt, StreamExt, future::BoxFuture},
  prost::Message,
  std::{
    fmt,
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
/// Largest call, with room for fields of later builds; calls have two numbers. A frame reserves its length
/// when it begins.
const MAX_REQUEST_BYTES: usize = 8 << 10;
/// Memory for calls where the caller of this module sets none: room for two of the largest responses.
const CALL_MEMORY_BYTES: u64 = 4 * MAX_FRAME_BYTES as u64;
const PREFIX: &str = "member";
const TIMEOUT: Duration = Duration::from_secs(2);

/// Request for the catalog or, if it names a target, the question whether that accepts connections.
#[derive(Clone, PartialEq, prost::Message)]
struct Request {
  /// Version that the requesting host has; only a newer catalog is sent.
  #[prost(uint64, tag = "1")]
  above: u64,
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, optional, tag = "2")]
  target: Option<u64>,
}

/// Response with the published catalog or the answer to the question.
#[derive(Clone, PartialEq, prost::Message)]
struct Response {
  /// The compressed catalog; empty if there is no newer one.
  #[prost(bytes = "bytes", tag = "1")]
  bytes: Bytes,
  /// Whether the target accepted or refused a connection; absent if neither happened.
  #[prost(bool, optional, tag = "2")]
  is_listening: Option<bool>,
}

/// What a host answers to the calls of others.
pub struct Handlers {
  /// Returns the compressed catalog if it is newer than a version, or no bytes.
  pub catalog: Box<dyn Fn(u64) -> Bytes + Send + Sync>,
  /// Finds out whether a target, given by its fingerprint, accepts or refuses connections.
  pub is_listening: Box<dyn Fn(u64) -> BoxFuture<'static, Option<bool>> + Send + Sync>,
}

impl fmt::Debug for Handlers {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("Handlers")
  }
}

fn framed(stream: TcpStream, max_bytes: usize) -> Framed<TcpStream, LengthDelimitedCodec> {
  let codec = LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec();
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
  let request = Request {
    above,
    target: None,
  };
  decompress_catalog(&call(address, &request).await?.bytes)
}

/// Asks another host whether a target accepts (`true`) or refuses connections; `None` if it does not
/// know.
///
/// # Errors
///
/// Fails when the other host cannot be reached or does not respond in time.
pub async fn ask_is_listening(address: SocketAddr, target: u64) -> anyhow::Result<Option<bool>> {
  let request = Request {
    above: u64::MAX,
    target: Some(target),
  };
  Ok(call(address, &request).await?.is_listening)
}

async fn call(address: SocketAddr, request: &Request) -> anyhow::Result<Response> {
  let response = async {
    let mut frames = framed(TcpStream::connect(address).await?, MAX_FRAME_BYTES);
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let frame = frames.next().await.context("the other host closed the connection")??;
    Ok(Response::decode(frame)?)
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

/// Answers the calls of other hosts until the task is dropped.
pub async fn serve_calls(listener: TcpListener, handlers: Arc<Handlers>) {
  serve_calls_within(listener, handlers, Memory::new(CALL_MEMORY_BYTES)).await;
}

/// Does the same within a budget of memory: the oldest calls end when others need it.
pub async fn serve_calls_within(listener: TcpListener, handlers: Arc<Handlers>, memory: Memory) {
  loop {
    let stream = match listener.accept().await {
      Ok((stream, _)) => stream,
      Err(error) => {
        log::warn!(target: PREFIX, error:% = error; "Failed to accept a connection from another host.");
        time::sleep(ACCEPT_RETRY_DELAY).await;
        continue;
      }
    };
    let Ok(reservation) = memory.reserve_evictable(2 * MAX_REQUEST_BYTES as u64) else {
      continue;
    };
    let handlers = Arc::clone(&handlers);
    tokio::spawn(time::timeout(TIMEOUT, async move {
      let response = async {
        tokio::select! {
          biased;
          () = reservation.evicted() => Err(anyhow!("other calls need the memory")),
          result = respond(stream, &handlers, &reservation) => result,
        }
      };
      if let Err(error) = response.await {
        log::debug!(target: PREFIX, error:% = error; "Failed to answer a call of another host.");
      }
    }));
  }
}

async fn respond(
  stream: TcpStream,
  handlers: &Handlers,
  reservation: &Reservation,
) -> anyhow::Result<()> {
  let mut frames = framed(stream, MAX_REQUEST_BYTES);
  let frame = frames.next().await.context("the other host closed the connection")??;
  let request = Request::decode(frame)?;
  let response = match request.target {
    Some(target) => Response {
      bytes: Bytes::new(),
      is_listening: (handlers.is_listening)(target).await,
    },
    None => Response {
      bytes: (handlers.catalog)(request.above),
      is_listening: None,
    },
  };
  let length = response.encoded_len();
  // The response, and its copy in the write buffer.
  reservation
    .grow(2 * length as u64)
    .map_err(|refusal| anyhow!("there is no room for the response: {refusal}"))?;
  frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
  frames.send(Bytes::from(response.encode_to_vec())).await?;
  Ok(())
}
