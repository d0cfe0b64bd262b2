use {
  super::{
    assignment::Assignment, call::Call, forwarding, ingress, migration, retrying::Attempts,
    session::Session,
  },
  crate::{
    attempt::Outcome,
    http::{Body, Framing},
    origin::Decision,
    plain,
    refusal::{Reason, Refusal},
  },
  hyper::{Response, StatusCode, body::Incoming, header::CONTENT_LENGTH},
};

const PREFIX: &str = "stream";

/// Serves a request whose response is an event stream.
///
/// # Errors
///
/// Fails with a refusal that states what is known about whether the request ran.
pub async fn serve(mut call: Call) -> Result<Response<Body>, Refusal> {
  if let Some(last_event_id) = call.metadata.last_event_id {
    log::info!(
      target: PREFIX, id = call.id(), resumes = call.metadata.resumes.as_deref().unwrap_or("-"), last_event_id;
      "A caller resumes a stream."
    );
  }
  constrain_version(&mut call)?;
  let mut attempts = Attempts::new(&call);
  let mut lost: Option<Assignment> = None;
  loop {
    if let Some(host) = attempts.next_helper(&call) {
      let failure = match call.hand_over(host, &attempts.history, None).await {
        Ok(response) => return Ok(forwarding::relay(&call, response)),
        Err(failure) => failure,
      };
      if !attempts.record_failure(&call, failure.outcome) {
        let is_promise = failure.outcome == Outcome::NotRun && attempts.history.possible_runs == 0;
        let promise = failure.response.filter(|_| is_promise);
        let refusal = promise.map(|response| forwarding::relay(&call, *response));
        return refusal.ok_or_else(|| call.final_refusal(&attempts.history, failure.outcome));
      }
      continue;
    }
    let assignment = attempts.assign_next(&call).await?;
    if let Some(lost) = lost.take() {
      migration::stop_lost_start(&call, &lost, &assignment).await;
    }
    let failure = match call.send(&assignment, None, call.time_left()).await {
      Ok(response) if has_events(&response) => {
        return Ok(build_response(call, attempts, assignment, response));
      }
      Ok(response) => {
        let response = call.read_whole(&assignment, response, call.time_left()).await;
        return response.ok_or_else(|| Refusal::unknown(Reason::TargetLost));
      }
      Err(failure) => failure,
    };
    if !attempts.record_failure(&call, failure.outcome) {
      return Err(call.final_refusal(&attempts.history, failure.outcome));
    }
    lost = (failure.outcome == Outcome::Lost).then_some(assignment);
  }
}

/// Restricts a stream that its caller continues to the software version that began it.
fn constrain_version(call: &mut Call) -> Result<(), Refusal> {
  if !call.continues_stream() {
    return Ok(());
  }
  let stream = call.stream_key();
  let now = call.gateway.clock.now();
  let mut state = call.gateway.lock();
  state.observe_versions(Some(&call.service_name), now);
  match state.origins.decide(stream, ingress::hash(&call.service_name), now) {
    Decision::Unknown => Err(Refusal::not_run(Reason::UnknownOrigin)),
    Decision::Version(version) => {
      drop(state);
      call.version = Some(version);
      Ok(())
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
  let framing = Framing::of_response(&response);
  let (mut head, target_body) = response.into_parts();
  plain::strip_response(&mut head.headers);
  // Another target may continue the stream with more bytes or fewer.
  head.headers.remove(CONTENT_LENGTH);
  let body = Session::start(call, attempts.history, assignment, target_body, framing);
  Response::from_parts(head, body)
}
