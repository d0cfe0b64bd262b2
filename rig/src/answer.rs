//! Responses of the stand-ins.

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

/// Renders a value as JSON.
pub fn json(value: &impl Serialize) -> Response<Body> {
  let text = serde_json::to_string(value).expect("the value is serializable");
  http::json(StatusCode::OK, text)
}

/// Reads a whole request body.
pub async fn body(request: Request<Incoming>) -> Option<Bytes> {
  http::collect(request.into_body(), MAX_BODY_BYTES).await
}

/// Reads a request body as JSON.
pub async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
  serde_json::from_slice(&body(request).await?).ok()
}

/// Reads a request body as JSON and hands it to `set`.
pub async fn put<T: DeserializeOwned>(
  request: Request<Incoming>,
  set: impl FnOnce(T),
) -> Response<Body> {
  match parse(request).await {
    Some(value) => {
      set(value);
      status(StatusCode::NO_CONTENT)
    }
    None => status(StatusCode::BAD_REQUEST),
  }
}

/// An empty response with a status.
pub fn status(status: StatusCode) -> Response<Body> {
  http::text(status, "")
}

/// Serves a stand-in until its task is dropped.
pub async fn serve<H, F>(listener: TcpListener, handle: H)
where
  H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
  F: Future<Output = Response<Body>> + Send + 'static,
{
  server::serve(listener, handle, CancellationToken::new()).await;
}
