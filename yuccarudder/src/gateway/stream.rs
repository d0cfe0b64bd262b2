use {
  super::{call::Call, session::Session},
  crate::{
    attempt::State,
    http::{self, Body},
    plain,
    refusal::Refusal,
    routing::Kind,
  },
  hyper::{Response, StatusCode},
};

/// Serves a request whose answer is a series of events.
///
/// # Errors
///
/// Refuses with what is known about whether the request ran.
pub async fn serve(call: Call) -> Result<Response<Body>, Refusal> {
  let mut state = State {
    repeatable: matches!(call.route().kind, Kind::Stream { resumable: true }),
    runs: 0,
    runs_allowed: call.route().attempts,
    tries: 0,
  };
  let mut tried = Vec::new();
  loop {
    let spot = match call.place(&tried).await {
      Ok(spot) => spot,
      Err(refusal) if state.runs > 0 => return Err(refusal.weakened()),
      Err(refusal) => return Err(refusal),
    };
    state.tries += 1;
    tried.push(spot.key);
    let failed = match call.send(&spot, None, call.left()).await {
      Ok(response) => {
        let (mut head, events) = response.into_parts();
        plain::strip_response(&mut head.headers);
        let body = if head.status == StatusCode::OK {
          Session::start(call, state, spot, events)
        } else {
          http::incoming(events)
        };
        return Ok(Response::from_parts(head, body));
      }
      Err(failed) => failed,
    };
    state.runs += u32::from(!failed.outcome.is_not_run());
    if !call.retries(&state, failed.outcome) {
      return Err(call.given_up(&state, failed.outcome));
    }
  }
}
