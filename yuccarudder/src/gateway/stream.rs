use {
  super::{call::Call, placed::Spot, retrying::Tries, session::Session},
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
  let mut tries = Tries::new(resumable, call.route().attempt_limit);
  loop {
    let spot = tries.next(&call).await?;
    let failed = match call.send(&spot, None, call.left()).await {
      Ok(response) => return Ok(answer(call, tries, spot, response)),
      Err(failed) => failed,
    };
    if !tries.go_on(&call, failed.outcome) {
      return Err(call.given_up(&tries.state, failed.outcome));
    }
  }
}

fn answer(call: Call, tries: Tries, spot: Spot, response: Response<Incoming>) -> Response<Body> {
  let (mut head, events) = response.into_parts();
  plain::strip_response(&mut head.headers);
  let body = if head.status == StatusCode::OK {
    Session::start(call, tries.state, spot, events)
  } else {
    http::incoming(events)
  };
  Response::from_parts(head, body)
}
