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

/// A response body that fails when the deadline passes or the connection to the target breaks.
///
/// The error also closes the caller's connection early, so that the caller never takes a
/// truncated body for a complete one.
struct DeadlineBody {
  _guards: (InFlight, Option<Permit>),
  body: Body,
  answer_counted: bool,
  deadline: Pin<Box<Sleep>>,
  host: Host,
}

impl hyper::body::Body for DeadlineBody {
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
      return Poll::Ready(Some(Err(self.record_failure(Reason::DeadlinePassed))));
    }
    match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
      Some(Err(_)) => Poll::Ready(Some(Err(self.record_failure(Reason::TargetLost)))),
      frame => {
        if frame.is_none() || self.body.is_end_stream() {
          self.count_answer();
        }
        Poll::Ready(frame)
      }
    }
  }

  fn size_hint(&self) -> SizeHint {
    self.body.size_hint()
  }
}

impl DeadlineBody {
  fn count_answer(&mut self) {
    if !self.answer_counted {
      self.answer_counted = true;
      self.host.metrics.completed_requests.inc();
    }
  }

  fn record_failure(&self, reason: Reason) -> BodyError {
    let refusal = Refusal::unknown(reason);
    self.host.metrics.count_refusal(&refusal);
    refusal.into()
  }
}

/// Streams a response to the caller until the deadline, and counts its outcome.
///
/// `in_flight` and `job_permit` are released when the body is dropped.
pub fn relay(
  host: &Host,
  response: Response<Body>,
  in_flight: InFlight,
  job_permit: Option<Permit>,
  deadline: Instant,
) -> Response<Body> {
  let (head, body) = response.into_parts();
  let deadline_body = DeadlineBody {
    _guards: (in_flight, job_permit),
    body,
    answer_counted: false,
    deadline: Box::pin(time::sleep_until(deadline.into())),
    host: host.clone(),
  };
  Response::from_parts(head, deadline_body.boxed_unsync())
}
