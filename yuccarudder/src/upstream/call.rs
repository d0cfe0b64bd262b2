use {
  crate::{cold::Report, http::Body, refusal::Refusal},
  futures::future::BoxFuture,
  hyper::Request,
  std::{fmt, net::SocketAddr, time::Duration},
};

/// A check that runs immediately before the first byte of a request is written.
///
/// A refusal prevents the request from being sent.
pub type SendCheck = Box<dyn FnOnce() -> Result<(), Refusal> + Send>;

/// A check that runs before a request is sent to a target in its cold start, given the target's
/// report. A refusal prevents the request from being sent.
pub type Admission = Box<dyn FnOnce(Report) -> BoxFuture<'static, Result<(), Refusal>> + Send>;

/// One request to one address, with its checks and the options for its connection.
pub struct Call {
  /// The address to connect to.
  pub address: SocketAddr,
  /// Runs if the target reports that it is in its cold start.
  ///
  /// The target is probed for its report unless it reported on this connection a short time
  /// ago that it is warm. If this is `None`, the target is not probed.
  pub admission: Option<Admission>,
  /// Time limit for connecting, and for the report of the target.
  pub connect_timeout: Duration,
  /// Most bytes of the response's body that are of use; `None` if any number is. It bounds what is read on the
  /// connection, and so the processor time for a body whose framing or content has no end.
  pub max_body_bytes: Option<u64>,
  /// Whether to open a new connection instead of reusing an idle one.
  pub new_connection: bool,
  /// Whether the connection returns to the pool after the response.
  pub reusable: bool,
  /// Runs immediately before the first byte of the request is written.
  pub send_check: SendCheck,
  /// The request to send.
  pub request: Request<Body>,
}

impl Call {
  /// Creates a call without checks that may use any connection.
  pub fn new(address: SocketAddr, connect_timeout: Duration, request: Request<Body>) -> Self {
    Self {
      address,
      admission: None,
      connect_timeout,
      max_body_bytes: None,
      new_connection: false,
      reusable: true,
      send_check: Box::new(|| Ok(())),
      request,
    }
  }

  /// Bounds the body of the response.
  #[must_use]
  pub fn with_max_body_bytes(mut self, bytes: u64) -> Self {
    self.max_body_bytes = Some(bytes);
    self
  }

  /// Sends the call on a new connection that no other call uses.
  #[must_use]
  pub fn on_dedicated_connection(mut self) -> Self {
    self.new_connection = true;
    self.reusable = false;
    self
  }
}

impl fmt::Debug for Call {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "Call({}, {})", self.address, self.request.uri())
  }
}
