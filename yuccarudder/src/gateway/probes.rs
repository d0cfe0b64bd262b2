use {
  super::Gateway,
  crate::http::{self, Body},
  hyper::{Request, Response, StatusCode, body::Incoming},
};

/// Answers a reader of metrics.
pub async fn metrics(gateway: Gateway, _request: Request<Incoming>) -> Response<Body> {
  http::text(StatusCode::OK, gateway.metrics.render())
}
