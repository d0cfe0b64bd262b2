//! Helpers for the HTTP endpoints of the stand-ins.

use {
  bytes::Bytes,
  hyper::{Request, Response, StatusCode, body::Incoming},
  serde::{Serialize, de::DeserializeOwned},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
  yuccarudder::{
    http::{self, Body},
    server,
  },
};

const MAX_BODY_BYTES: u64 = 16 << 20;

/// Returns a response with a value as JSON.
pub fn json(value: &impl Serialize) -> Response<Body> {
  let text = serde_json::to_string(value).expect("the value is serializable");
  http::json(StatusCode::OK, text)
}

/// Reads a request body, or returns `None` if it is incomplete or larger than
/// `MAX_BODY_BYTES`.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
  http::collect(request.into_body(), MAX_BODY_BYTES).await
}

/// Reads a request body as JSON, or returns `None` if it cannot be read or parsed.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
  serde_json::from_slice(&read_body(request).await?).ok()
}

/// Passes the JSON of a request body to `set` and responds with 204, or with 400 if it cannot be
/// parsed.
pub async fn put_json<T: DeserializeOwned>(
  request: Request<Incoming>,
  set: impl FnOnce(T),
) -> Response<Body> {
  match read_json(request).await {
    Some(value) => {
      set(value);
      status(StatusCode::NO_CONTENT)
    }
    None => status(StatusCode::BAD_REQUEST),
  }
}

/// Returns a response with a status and an empty body.
pub fn status(status: StatusCode) -> Response<Body> {
  http::text(status, "")
}

/// Serves requests until the task is dropped.
pub async fn serve<H, F>(listener: TcpListener, handle: H)
where
  H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
  F: Future<Output = Response<Body>> + Send + 'static,
{
  server::serve(listener, handle, CancellationToken::new()).await;
}
