use {
  crate::http::{Body, BodyError},
  bytes::Bytes,
  http_body_util::BodyExt,
  hyper::{
    Method, Request, Response, StatusCode, Version,
    body::{Body as _, Frame},
    header::CONTENT_LENGTH,
  },
  std::{
    pin::Pin,
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
  },
};

/// Whether a response is under way that only the end of its connection marks as whole.
#[derive(Clone, Debug, Default)]
pub struct Unmarked(Arc<AtomicBool>);

impl Unmarked {
  /// Returns whether the response to a request ends with its connection: a caller of HTTP/1.0 knows no chunks.
  pub fn applies_to<B>(request: &Request<B>) -> bool {
    request.version() < Version::HTTP_11 && request.method() != Method::HEAD
  }

  /// Marks a response without a length as under way until its body has ended.
  pub fn watch(&self, response: Response<Body>) -> Response<Body> {
    let status = response.status();
    let has_body = !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !has_body
      || response.headers().contains_key(CONTENT_LENGTH)
      || response.body().size_hint().exact().is_some()
    {
      return response;
    }
    self.0.store(true, Ordering::Relaxed);
    let unmarked = self.clone();
    response.map(|body| WatchedBody { body, unmarked }.boxed_unsync())
  }

  /// Returns whether such a response is under way.
  pub fn is_under_way(&self) -> bool {
    self.0.load(Ordering::Relaxed)
  }
}

/// A body whose end is recorded.
struct WatchedBody {
  body: Body,
  unmarked: Unmarked,
}

impl hyper::body::Body for WatchedBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
    if frame.is_none() {
      self.unmarked.0.store(false, Ordering::Relaxed);
    }
    Poll::Ready(frame)
  }
}
