//! Bodies, headers and responses shared by the HTTP servers and clients.

mod framing;
mod lingering;

pub use {framing::Framing, lingering::LingeringBody};

use {
  crate::refusal::{Execution, Refusal},
  bytes::Bytes,
  futures::stream,
  http_body_util::{BodyExt, Empty, Full, Limited, StreamBody, combinators::UnsyncBoxBody},
  hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    ext::ReasonPhrase,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
  },
  memchr::memmem,
  std::{pin::pin, time::Duration},
};

/// An error while reading a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any source: empty, complete in memory, or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Tells the caller to open another connection for its next request.
pub fn close_connection(response: &mut Response<Body>) {
  response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Reads a body of up to `limit` bytes; `None` if it is larger or cannot be read to its end.
pub async fn collect<B>(body: B, limit: u64) -> Option<Bytes>
where
  B: hyper::body::Body<Data = Bytes>,
  B::Error: Into<BodyError>,
{
  let limit = usize::try_from(limit).unwrap_or(usize::MAX);
  let mut body = pin!(Limited::new(body, limit));
  // A chunk that is kept would keep the whole read buffer of its connection.
  let mut bytes = Vec::new();
  while let Some(frame) = body.frame().await {
    if let Ok(data) = frame.ok()?.into_data() {
      bytes.extend_from_slice(&data);
    }
  }
  Some(bytes.into())
}

/// Returns the `Content-Length` in bytes, or `default` if it is absent or malformed.
pub fn content_length(headers: &HeaderMap, default: u64) -> u64 {
  let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
  length.unwrap_or(default)
}

/// Returns whether another response begins inside the head of a response: its server failed before the end
/// of the head, so that the values are those of both.
pub fn has_nested_head<B>(response: &Response<B>) -> bool {
  let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
  let values = response.headers().values().map(HeaderValue::as_bytes);
  values.chain(reason).any(contains_status_line)
}

/// Returns whether a text contains the version and the status with which a response begins.
fn contains_status_line(text: &[u8]) -> bool {
  memmem::find_iter(text, b"HTTP/1.").any(|at| match &text[at + b"HTTP/1.".len()..] {
    [b'0' | b'1', b' ', status @ ..] => {
      status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit)
    }
    _ => false,
  })
}

/// Returns a body that ends only if `check` succeeds after the end of `body`, and else fails with its error.
pub fn confirmed<B>(
  body: B,
  check: impl Future<Output = Result<(), BodyError>> + Send + 'static,
) -> Body
where
  B: hyper::body::Body<Data = Bytes> + Send + Unpin + 'static,
  B::Error: Into<BodyError>,
{
  let begun = Some((body, Box::pin(check)));
  let frames = stream::unfold(begun, |state| async move {
    let (mut body, check) = state?;
    let frame = body.frame().await.map(|frame| frame.map_err(Into::into));
    match frame {
      Some(Ok(frame)) => Some((Ok(frame), Some((body, check)))),
      Some(Err(error)) => Some((Err(error), None)),
      None => check.await.err().map(|error| (Err(error), None)),
    }
  });
  StreamBody::new(frames).boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> Body {
  Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
  Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that streams from a connection.
pub fn incoming(body: Incoming) -> Body {
  body.map_err(Into::into).boxed_unsync()
}

/// Returns a body that keeps a value until it ends.
pub fn keeping(body: Body, value: impl Send + 'static) -> Body {
  // The length of the body stays known, unlike with an adapter of its frames.
  let keep = move |error| {
    let _ = &value;
    error
  };
  body.map_err(keep).boxed_unsync()
}

/// Returns a body that fails with the error of `interruption` if that is earlier than its end.
pub fn interruptible<B>(
  body: B,
  interruption: impl Future<Output: Into<BodyError>> + Send + 'static,
) -> Body
where
  B: hyper::body::Body<Data = Bytes> + Send + Unpin + 'static,
  B::Error: Into<BodyError>,
{
  let begun = Some((body, Box::pin(interruption)));
  let frames = stream::unfold(begun, |state| async move {
    let (mut body, mut interruption) = state?;
    tokio::select! {
      biased;
      frame = body.frame() => {
        let frame = frame?.map_err(Into::into);
        Some((frame, Some((body, interruption))))
      }
      error = &mut interruption => Some((Err(error.into()), None)),
    }
  });
  StreamBody::new(frames).boxed_unsync()
}

/// Returns a JSON response.
pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
  let mut response = Response::new(full(text));
  *response.status_mut() = status;
  response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
  response
}

/// Returns a streamed request body that fails beyond `limit` bytes.
pub fn limited(body: LingeringBody, limit: u64) -> Body {
  let limit = usize::try_from(limit).unwrap_or(usize::MAX);
  Limited::new(body, limit).boxed_unsync()
}

/// Returns the value of a query parameter as written, without decoding percent escapes.
pub fn query_parameter<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
  request.uri().query()?.split('&').find_map(|pair| {
    let (key, value) = pair.split_once('=')?;
    (key == name).then_some(value)
  })
}

/// Returns the response to a refused request.
///
/// Client libraries of the completions API honour `x-should-retry` and `retry-after-ms`, so
/// they do not retry a request that may have run.
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
  let mut response = json(refusal.reason.status(), refusal.json());
  let headers = response.headers_mut();
  headers.insert(
    "yuccarudder-ran",
    HeaderValue::from_static(refusal.execution.name()),
  );
  let should_retry = refusal.execution == Execution::NotRun && refusal.retry_after.is_some();
  let should_retry = if should_retry { "true" } else { "false" };
  headers.insert("x-should-retry", HeaderValue::from_static(should_retry));
  if let Some(retry_after) = refusal.retry_after {
    headers.insert(RETRY_AFTER, HeaderValue::from(ceil_seconds(retry_after)));
    let ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    headers.insert("retry-after-ms", HeaderValue::from(ms));
  }
  response
}

/// Returns whole seconds, rounded up, as `Retry-After` has no fractions.
fn ceil_seconds(duration: Duration) -> u64 {
  duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

/// Returns a plain-text response.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
  let mut response = Response::new(full(text));
  *response.status_mut() = status;
  response
}

#[cfg(test)]
mod tests;
