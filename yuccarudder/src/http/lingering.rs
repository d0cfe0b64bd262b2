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

const MAX_BYTES: u64 = 16 << 20;
const MAX_TIME: Duration = Duration::from_secs(2);

/// A request body whose unread rest is discarded in the background.
///
/// A server that answers early and closes with data unread resets the
/// connection, and the caller may lose the answer (RFC 9112, section 9.6).
#[derive(Debug)]
pub struct LingeringBody {
  body: Option<Incoming>,
}

impl LingeringBody {
  /// Wraps the body of a request.
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
      runtime.spawn(time::timeout(MAX_TIME, discard(body)));
    }
  }
}

async fn discard(mut body: Incoming) {
  let mut left = MAX_BYTES;
  while let Some(Ok(frame)) = body.frame().await {
    let length = frame.data_ref().map_or(0, |data| data.len() as u64);
    if length > left {
      return;
    }
    left -= length;
  }
}
