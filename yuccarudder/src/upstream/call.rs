use {
  crate::{cold::Report, http::Body, refusal::Refusal},
  futures::future::BoxFuture,
  hyper::Request,
  std::{fmt, net::SocketAddr, time::Duration},
};

/// Decides immediately before the first byte goes out whether it may.
pub type SendCheck = Box<dyn FnOnce() -> Result<(), Refusal> + Send>;

/// Asked before a request goes out on a connection whose target is in its cold start.
pub type Admission = Box<dyn FnOnce(Report) -> BoxFuture<'static, Result<(), Refusal>> + Send>;

/// One request to one address.
pub struct Call {
  /// Where to send it.
  pub address: SocketAddr,
  /// Asked unless the target has said on this connection that it is warm.
  pub admission: Option<Admission>,
  /// Longest wait for a connection.
  pub connect_timeout: Duration,
  /// Whether to open a new connection instead of reusing an idle one.
  pub new_connection: bool,
  /// Whether the connection may serve further calls.
  pub reusable: bool,
  /// Decides immediately before the first byte goes out.
  pub send_check: SendCheck,
  /// What to send.
  pub request: Request<Body>,
}

impl Call {
  /// Builds a call that nothing holds back, on any connection.
  pub fn new(address: SocketAddr, connect_timeout: Duration, request: Request<Body>) -> Self {
    Self {
      address,
      admission: None,
      connect_timeout,
      new_connection: false,
      reusable: true,
      send_check: Box::new(|| Ok(())),
      request,
    }
  }

  /// Gives the call a connection of its own.
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
