use {
  crate::{
    host::Host,
    http::{Body, BodyError},
    limit::Permit,
    refusal::{Reason, Refusal},
    target::InFlight,
  },
  bytes::Bytes,
  http_body_util::BodyExt,
  hyper::{
    Response,
    body::{Frame, SizeHint},
  },
  std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
  },
  tokio::time::{self, Sleep},
};

/// A response body that ends early rather than late.
///
/// When the target breaks off or the deadline passes, the caller's connection
/// is broken too, so that a cut body is never taken for a whole one.
struct Guarded {
  _held: (InFlight, Option<Permit>),
  body: Body,
  counted: bool,
  deadline: Pin<Box<Sleep>>,
  host: Host,
}

impl hyper::body::Body for Guarded {
  type Data = Bytes;
  type Error = BodyError;

  fn is_end_stream(&self) -> bool {
    self.body.is_end_stream()
  }

  fn poll_frame(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    if self.deadline.as_mut().poll(cx).is_ready() {
      return Poll::Ready(Some(Err(self.fail(Reason::DeadlinePassed))));
    }
    match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
      Some(Err(_)) => Poll::Ready(Some(Err(self.fail(Reason::TargetLost)))),
      frame => {
        if frame.is_none() || self.body.is_end_stream() {
          self.count();
        }
        Poll::Ready(frame)
      }
    }
  }

  fn size_hint(&self) -> SizeHint {
    self.body.size_hint()
  }
}

impl Guarded {
  fn count(&mut self) {
    if !self.counted {
      self.counted = true;
      self.host.metrics.answered.inc();
    }
  }

  fn fail(&self, reason: Reason) -> BodyError {
    let refusal = Refusal::unknown(reason);
    self.host.metrics.refuse(&refusal);
    refusal.into()
  }
}

/// Bounds the time of a response that is passed on as it comes.
pub fn relay(
  host: &Host,
  response: Response<Body>,
  in_hand: InFlight,
  place: Option<Permit>,
  deadline: Instant,
) -> Response<Body> {
  let (head, body) = response.into_parts();
  let guarded = Guarded {
    _held: (in_hand, place),
    body,
    counted: false,
    deadline: Box::pin(time::sleep_until(deadline.into())),
    host: host.clone(),
  };
  Response::from_parts(head, guarded.boxed_unsync())
}
