use {
  super::{assignment::Assignment, call::Call, retrying::Attempts, session::Session},
  crate::{
    http::{self, Body},
    plain,
    refusal::Refusal,
    routing::Kind,
  },
  hyper::{Response, StatusCode, body::Incoming},
};

/// Serves a request whose answer is a series of events.
///
/// # Errors
///
/// Refuses with what is known about whether the request ran.
pub async fn serve(call: Call) -> Result<Response<Body>, Refusal> {
  let resumable = matches!(call.route().kind, Kind::Stream { resumable: true });
  let mut tries = Attempts::new(resumable, call.route().attempts);
  loop {
    let spot = tries.assign_next(&call).await?;
    let failed = match call.send(&spot, None, call.time_left()).await {
      Ok(response) => return Ok(answer(call, tries, spot, response)),
      Err(failed) => failed,
    };
    if !tries.record_failure(&call, failed.outcome) {
      return Err(call.final_refusal(&tries.state, failed.outcome));
    }
  }
}

fn answer(
  call: Call,
  tries: Attempts,
  spot: Assignment,
  response: Response<Incoming>,
) -> Response<Body> {
  let (mut head, events) = response.into_parts();
  plain::strip_response(&mut head.headers);
  let body = if head.status == StatusCode::OK {
    Session::start(call, tries.state, spot, events)
  } else {
    http::incoming(events)
  };
  Response::from_parts(head, body)
}
