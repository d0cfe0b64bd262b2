use {
  super::Gateway,
  crate::dialect::ReleaseFn,
  std::{net::SocketAddr, sync::Arc},
  tokio::runtime::Handle,
};

/// A copy of a run from which an engine may go on. The engines free it unless one has taken it.
pub struct Offer {
  /// `None` once an engine has taken it or it is being freed.
  handle: Option<String>,
  release: ReleaseFn,
  source: SocketAddr,
}

impl Offer {
  /// Creates the offer of a copy that the engine at `source` has made.
  pub fn new(gateway: &Gateway, source: SocketAddr, handle: String) -> Self {
    Self {
      handle: Some(handle),
      release: Arc::clone(&gateway.dialect.release),
      source,
    }
  }

  /// Returns where an engine finds the copy.
  pub fn location(&self) -> Option<String> {
    let handle = self.handle.as_ref()?;
    Some(format!("{}/{handle}", self.source))
  }

  /// Records that an engine has taken the copy.
  pub fn accept(mut self) {
    self.handle = None;
  }

  /// Frees the copy and waits until the engines have done so.
  pub async fn free(mut self) {
    if let Some(handle) = self.handle.take() {
      (self.release)(self.source, handle).await;
    }
  }
}

impl Drop for Offer {
  fn drop(&mut self) {
    if let Some(handle) = self.handle.take()
      && let Ok(runtime) = Handle::try_current()
    {
      runtime.spawn((self.release)(self.source, handle));
    }
  }
}
