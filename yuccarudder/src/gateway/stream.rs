use {
  super::{assignment::Assignment, buffered, call::Call, retrying::Attempts, session::Session},
  crate::{
    http::{self, Body},
    plain,
    refusal::{Reason, Refusal},
    routing::Kind,
  },
  hyper::{Response, StatusCode, body::Incoming},
};

const PREFIX: &str = "stream";

/// Serves a request whose response is an event stream.
///
/// # Errors
///
/// Fails with a refusal that states what is known about whether the request ran.
pub async fn serve(call: Call) -> Result<Response<Body>, Refusal> {
  if let Some(last_event_id) = call.metadata.last_event_id {
    log::info!(
      target: PREFIX, id = call.id(), resumes = call.metadata.resumes.as_deref().unwrap_or("-"), last_event_id;
      "A caller resumes a stream."
    );
  }
  let resumable = matches!(call.route().kind, Kind::Stream { resumable: true });
  let mut attempts = Attempts::new(resumable, call.route().max_runs);
  loop {
    let assignment = attempts.assign_next(&call).await?;
    let failure = match call.send(&assignment, None, call.time_left()).await {
      Ok(response) if has_events(&response) => {
        return Ok(build_response(call, attempts, assignment, response));
      }
      Ok(response) => {
        let response = buffered::read_body(response, call.time_left()).await;
        return response.ok_or_else(|| Refusal::unknown(Reason::TargetLost));
      }
      Err(failure) => failure,
    };
    if !attempts.record_failure(&call, failure.outcome) {
      return Err(call.final_refusal(&attempts.history, failure.outcome));
    }
  }
}

/// Returns whether the body of a response is the event stream that was asked for.
pub(super) fn has_events(response: &Response<Incoming>) -> bool {
  response.status() == StatusCode::OK
}

fn build_response(
  call: Call,
  attempts: Attempts,
  assignment: Assignment,
  response: Response<Incoming>,
) -> Response<Body> {
  let is_framed = http::is_framed(response.headers());
  let (mut head, target_body) = response.into_parts();
  plain::strip_response(&mut head.headers);
  let body = Session::start(call, attempts.history, assignment, target_body, is_framed);
  Response::from_parts(head, body)
}
