//! Bodies and responses shared by the HTTP servers and clients.

mod lingering;

pub use lingering::LingeringBody;

use {
  crate::refusal::{Execution, Refusal},
  bytes::Bytes,
  http_body_util::{BodyExt, Empty, Full, Limited, combinators::UnsyncBoxBody},
  hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
  },
  std::time::Duration,
};

/// An error of a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any origin.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Reads a body of up to `limit` bytes; `None` when it is larger or breaks off.
pub async fn collect<B>(body: B, limit: u64) -> Option<Bytes>
where
  B: hyper::body::Body<Data = Bytes>,
  B::Error: Into<BodyError>,
{
  let limit = usize::try_from(limit).unwrap_or(usize::MAX);
  let collected = Limited::new(body, limit).collect().await.ok()?;
  Some(collected.to_bytes())
}

/// Returns the bytes that a body announces, or at most may have.
pub fn content_length(headers: &HeaderMap, limit: u64) -> u64 {
  let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
  length.unwrap_or(limit)
}

/// An empty body.
pub fn empty() -> Body {
  Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is known whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
  Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that arrives on a connection.
pub fn incoming(body: Incoming) -> Body {
  body.map_err(Into::into).boxed_unsync()
}

/// A JSON response.
pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
  let mut response = Response::new(full(text));
  *response.status_mut() = status;
  response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
  response
}

/// A body that breaks off beyond `limit` bytes.
pub fn limited(body: LingeringBody, limit: u64) -> Body {
  let limit = usize::try_from(limit).unwrap_or(usize::MAX);
  Limited::new(body, limit).boxed_unsync()
}

/// Returns the value of a parameter of the query, unescaped values only.
pub fn query_parameter<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
  request.uri().query()?.split('&').find_map(|pair| {
    let (key, value) = pair.split_once('=')?;
    (key == name).then_some(value)
  })
}

/// The response to a refused job.
///
/// Client libraries of the completions API honour `x-should-retry` and
/// `retry-after-ms`, so a job that may have run is not sent again by them.
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
  let mut response = json(refusal.reason.status(), refusal.json());
  let headers = response.headers_mut();
  headers.insert(
    "yuccarudder-ran",
    HeaderValue::from_static(refusal.execution.name()),
  );
  let retry = refusal.execution == Execution::NotRun && refusal.retry_after.is_some();
  let retry = if retry { "true" } else { "false" };
  headers.insert("x-should-retry", HeaderValue::from_static(retry));
  if let Some(after) = refusal.retry_after {
    headers.insert(RETRY_AFTER, HeaderValue::from(seconds(after)));
    let ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
    headers.insert("retry-after-ms", HeaderValue::from(ms));
  }
  response
}

fn seconds(duration: Duration) -> u64 {
  duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

/// A plain-text response.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
  let mut response = Response::new(full(text));
  *response.status_mut() = status;
  response
}
