use {
  super::{
    Gateway,
    assignment::Assignment,
    call::Call,
    forwarding, ingress,
    migration::{self, OtherRuns},
    retrying::Attempts,
    session::Session,
  },
  crate::{
    attempt::Outcome,
    http::{Body, Framing},
    origin::Decision,
    plain,
    refusal::{Reason, Refusal},
    roster::Key,
  },
  hyper::{Response, StatusCode, body::Incoming, header::CONTENT_LENGTH},
  std::time::Duration,
  tokio::time,
};

/// Interval at which it is checked whether the other hosts have told this one enough.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait until this host knows which versions were in service when a caller continued a stream; the
/// other hosts tell it with their next heartbeats, or a reader after its next watch.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(2);
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
  constrain_version(&mut call).await?;
  let mut attempts = Attempts::new(&call);
  let OtherRuns {
    avoided,
    mut unstopped,
  } = migration::stop_for_other_host(&call).await;
  attempts.avoid(avoided);
  let mut lost: Option<Assignment> = None;
  loop {
    if let Some(host) = attempts.next_helper(&call) {
      if let Some(lost) = lost.take()
        && !migration::stop_before_handover(&call, &lost.target).await
      {
        unstopped.push((lost.key, lost.target.fingerprint));
      }
      let unstopped_at: Vec<u64> = unstopped.iter().map(|(_, fingerprint)| *fingerprint).collect();
      let failure = match call.hand_over(host, &attempts.history, None, &unstopped_at).await {
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
      let destination = assignment.target.listing.address;
      if !migration::stop_lost_start(&call, &lost.target, destination).await {
        unstopped.push((lost.key, lost.target.fingerprint));
      }
    }
    let failure = match call.send(&assignment, None, call.time_left()).await {
      Ok(response) if has_events(&response) => {
        if !call.continues_stream() || call.is_at_listed_process(&assignment).await {
          return Ok(build_response(
            call, attempts, assignment, unstopped, response,
          ));
        }
        Outcome::Lost.into()
      }
      Ok(response) => {
        let (response, _) = call.read_whole(&assignment, response, call.time_left()).await;
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
///
/// Waits until this host has proved that it missed no version, as it may have been out of touch.
async fn constrain_version(call: &mut Call) -> Result<(), Refusal> {
  if !call.continues_stream() {
    return Ok(());
  }
  let asked_at = call.gateway.clock.since_boot();
  // Any of them may have begun a stream that nobody knows.
  let destinations = call.route().destinations.iter();
  let services: Vec<String> = destinations.map(|it| it.service.clone()).collect();
  let give_up_at = call.deadline.min(call.gateway.clock.now() + MAX_CONFIRMATION_WAIT);
  let mut is_first_check = true;
  loop {
    match call.gateway.decide_origin(call.stream_key(), &services, asked_at) {
      Decision::Version(version) => {
        call.version = Some(version);
        return Ok(());
      }
      Decision::Unconfirmed if call.gateway.clock.now() < give_up_at => {
        if is_first_check {
          // The other hosts' next heartbeats echo this one.
          call.gateway.heartbeat_trigger.notify_one();
          is_first_check = false;
        }
        time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
      }
      Decision::Unconfirmed | Decision::Unknown => {
        return Err(Refusal::not_run(Reason::UnknownOrigin));
      }
    }
  }
}

impl Gateway {
  /// Decides at which software version a stream of one of some services may be continued, for which its caller
  /// asked at a time since boot.
  pub(super) fn decide_origin(
    &self,
    stream: Option<u64>,
    services: &[impl AsRef<str>],
    asked_at: Duration,
  ) -> Decision {
    let now = self.clock.now();
    let mut state = self.lock();
    let services = services.iter().map(AsRef::as_ref);
    for service in services.clone() {
      state.observe_versions(Some(service), now);
    }
    state.confirm_versions(self.clock.since_boot());
    let services: Vec<u64> = services.map(ingress::hash).collect();
    state.origins.decide(stream, &services, asked_at, now)
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
  unstopped: Vec<(Key, u64)>,
  response: Response<Incoming>,
) -> Response<Body> {
  let framing = Framing::of_response(&response);
  let (mut head, target_body) = response.into_parts();
  plain::strip_response(&mut head.headers);
  // Another target may continue the stream with more bytes or fewer.
  head.headers.remove(CONTENT_LENGTH);
  let body = Session::start(
    call,
    attempts.history,
    assignment,
    unstopped,
    target_body,
    framing,
  );
  Response::from_parts(head, body)
}
