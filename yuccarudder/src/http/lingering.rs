use {
  super::BodyError,
  bytes::Bytes,
  http_body_util::BodyExt,
  hyper::body::{Body, Frame, Incoming, SizeHint},
  std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
  },
  tokio::{runtime::Handle, time},
};

const MAX_DISCARDED_BYTES: u64 = 16 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A request body whose unread rest is read and discarded in the background when it is dropped.
///
/// A server that closes a connection while request data is unread resets it, and the client
/// may lose a response that was sent early (RFC 9112, section 9.6).
#[derive(Debug)]
pub struct LingeringBody {
  body: Option<Incoming>,
}

impl LingeringBody {
  /// Wraps a request body.
  pub fn new(body: Incoming) -> Self {
    Self { body: Some(body) }
  }
}

impl Body for LingeringBody {
  type Data = Bytes;
  type Error = BodyError;

  fn is_end_stream(&self) -> bool {
    self.body.as_ref().is_none_or(Incoming::is_end_stream)
  }

  fn poll_frame(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    match &mut self.body {
      Some(body) => Pin::new(body).poll_frame(cx).map_err(Into::into),
      None => Poll::Ready(None),
    }
  }

  fn size_hint(&self) -> SizeHint {
    self.body.as_ref().map(Incoming::size_hint).unwrap_or_default()
  }
}

impl Drop for LingeringBody {
  fn drop(&mut self) {
    let Some(body) = self.body.take().filter(|body| !body.is_end_stream()) else {
      return;
    };
    if let Ok(runtime) = Handle::try_current() {
      runtime.spawn(time::timeout(DISCARD_TIMEOUT, discard(body)));
    }
  }
}

/// Reads a body up to its end or [`MAX_DISCARDED_BYTES`].
async fn discard(mut body: Incoming) {
  let mut remaining = MAX_DISCARDED_BYTES;
  while let Some(Ok(frame)) = body.frame().await {
    let length = frame.data_ref().map_or(0, |data| data.len() as u64);
    if length > remaining {
      return;
    }
    remaining -= length;
  }
}
