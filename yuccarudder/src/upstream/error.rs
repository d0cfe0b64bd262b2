use {
  crate::{http::Body, refusal::Refusal},
  hyper::Request,
};

/// Why a call got no response head.
#[derive(Debug)]
pub enum Error {
  /// The permit was denied, so no byte was sent.
  Denied(Box<Refusal>),
  /// No byte was sent.
  NotSent {
    /// What went wrong.
    cause: String,
    /// The request, unless the connection consumed it.
    request: Option<Box<Request<Body>>>,
  },
  /// Bytes may have reached the target.
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
