use {
  crate::{http::Body, refusal::Refusal},
  hyper::Request,
};

/// The reason why a call received no response head.
#[derive(Debug)]
pub enum Error {
  /// A check refused the request before its first byte was sent.
  Denied(Box<Refusal>),
  /// No byte of the request was sent.
  NotSent {
    /// The error of the connection.
    cause: String,
    /// The request, unless the connection consumed it.
    request: Option<Box<Request<Body>>>,
  },
  /// Bytes of the request may have reached the target; holds the error of the connection.
  Sent(String),
}

impl Error {
  pub(super) fn not_sent(cause: impl ToString, request: Request<Body>) -> Self {
    Self::NotSent {
      cause: cause.to_string(),
      request: Some(Box::new(request)),
    }
  }
}
