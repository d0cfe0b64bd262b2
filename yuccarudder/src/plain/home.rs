use {
  super::{Dispatch, KeyedRequest, RequestBody, dispatch, relay},
  crate::{
    drain::Phase,
    host::Host,
    http::{self, Body},
    limit::Permit,
    once::{Answer, Claim, Key, Outcome},
    refusal::{Reason, Refusal},
    target::InFlight,
    tree::Tree,
  },
  bytes::{Bytes, BytesMut},
  futures::StreamExt,
  http_body_util::{BodyExt, StreamBody},
  hyper::{Response, StatusCode, body::Frame},
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{sync::oneshot, time},
};

/// Retry time suggested to a caller when no further key can be stored.
const OUTCOMES_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Executes a request at the home host of its key, or returns the key's stored outcome.
///
/// The execution continues after the caller disconnects, so that its outcome is stored.
///
/// # Errors
///
/// Fails with a refusal that states what is known about whether the request was executed.
pub async fn run_at_home(host: &Host, request: KeyedRequest) -> Result<Response<Body>, Refusal> {
  if request.ticket.home != host.settings.callers || request.ticket.incarnation != host.incarnation
  {
    return Err(Refusal::unknown(Reason::HomeGone));
  }
  let expires = host.started + request.ticket.expires_after_start;
  let now = host.clock.now();
  let claim = host.idempotency_keys().claim(&request.key, request.fingerprint(), expires, now);
  let outcome = match claim {
    Claim::Ended(outcome) => outcome,
    Claim::Expired => return Err(Refusal::unknown(Reason::TicketExpired)),
    Claim::Full => {
      return Err(
        Refusal::unknown(Reason::OutcomesFull).with_retry_after(OUTCOMES_FULL_RETRY_AFTER),
      );
    }
    Claim::Reused => return Err(Refusal::unknown(Reason::KeyReused)),
    Claim::Run => return start_execution(host, request).await,
    Claim::Wait(mut outcome_receiver) => match outcome_receiver.wait_for(Option::is_some).await {
      Ok(outcome) => outcome.clone().unwrap_or(Outcome::NotKept),
      Err(_) => Outcome::NotKept,
    },
  };
  Ok(respond(host, outcome.into_answer()?))
}

/// Executes a claimed request in a task of its own and returns its response.
///
/// A response of more than `answer_bytes` is streamed to this caller only. If the registry has no
/// room for a smaller one, this caller is refused with `AnswerNotKept`, as later ones are.
async fn start_execution(host: &Host, request: KeyedRequest) -> Result<Response<Body>, Refusal> {
  let (sender, receiver) = oneshot::channel();
  let task_host = host.clone();
  tokio::spawn(async move {
    let host = task_host;
    let key = request.key.clone();
    let (outcome, oversized) = match execute(&host, request).await {
      Ok(Completion::Buffered(answer)) => (Outcome::Answer(answer), None),
      Ok(Completion::Oversized(response)) => (Outcome::NotKept, Some(*response)),
      Err(refusal) => (Outcome::Refused(refusal), None),
    };
    let outcome = host.idempotency_keys().finish(&key, outcome);
    // Sending fails if the caller has disconnected; the outcome is already stored.
    let _ = sender.send((outcome, oversized));
  });
  match receiver.await {
    Ok((_, Some(oversized))) => Ok(oversized),
    Ok((outcome, None)) => Ok(respond(host, outcome.into_answer()?)),
    Err(_) => Err(Refusal::unknown(Reason::TargetLost)),
  }
}

/// The response of an executed request.
enum Completion {
  /// Read completely, within the limit.
  Buffered(Answer),
  /// Larger than the limit; streams to the caller.
  Oversized(Box<Response<Body>>),
}

async fn execute(host: &Host, request: KeyedRequest) -> Result<Completion, Refusal> {
  let tree = host.tree()?;
  if host.drain.phase(host.clock.now()) >= Phase::Closed {
    return Err(Refusal::not_run(Reason::HostLeaving));
  }
  let refuse = |reason| move || Refusal::not_run(reason);
  let service = tree.service(&request.service).ok_or_else(refuse(Reason::NotFound))?;
  let account =
    tree.account_by_name(&request.key.account).ok_or_else(refuse(Reason::Unauthorized))?;
  let settings = tree.settings(Some(service), None, Some(account));
  let job_permit = host.admit(&request.key.account, &settings)?;
  let _reservation = host.memory.reserve(settings.answer_bytes)?;
  let deadline = host.clock.now() + settings.deadline;
  let limit = usize::try_from(settings.answer_bytes).unwrap_or(usize::MAX);
  let outgoing = Dispatch {
    account,
    body: RequestBody::Buffered(request.body),
    deadline,
    headers: request.headers,
    method: request.method,
    dispatch_check: dispatch_check(host, request.key),
    repeatable: false,
    service,
    tree: Arc::<Tree>::clone(&tree),
    uri: request.uri,
  };
  let (response, in_flight) = dispatch(host, outgoing).await?;
  let buffering = buffer_response(host, response, (in_flight, job_permit), deadline, limit);
  match time::timeout_at(deadline.into(), buffering).await {
    Ok(result) => result,
    Err(_) => Err(Refusal::unknown(Reason::DeadlinePassed)),
  }
}

/// Reads a response of up to `limit` bytes into memory; streams a larger one instead.
async fn buffer_response(
  host: &Host,
  response: Response<Body>,
  (in_flight, job_permit): (InFlight, Permit),
  deadline: Instant,
  limit: usize,
) -> Result<Completion, Refusal> {
  let (head, body) = response.into_parts();
  let mut stream = body.into_data_stream();
  let mut buffered = BytesMut::new();
  while let Some(chunk) = stream.next().await {
    let chunk = chunk.map_err(|_| Refusal::unknown(Reason::TargetLost))?;
    buffered.extend_from_slice(&chunk);
    if buffered.len() > limit {
      let rest = futures::stream::iter([Ok(buffered.freeze())]).chain(stream);
      let body = StreamBody::new(rest.map(|chunk| chunk.map(Frame::<Bytes>::data)));
      let response = Response::from_parts(head, body.boxed_unsync());
      let response = relay(host, response, in_flight, Some(job_permit), deadline);
      return Ok(Completion::Oversized(Box::new(response)));
    }
  }
  Ok(Completion::Buffered(Answer {
    body: buffered.freeze(),
    headers: head.headers,
    status: head.status,
  }))
}

/// Returns the check that allows only one dispatch of a key's request.
fn dispatch_check(host: &Host, key: Key) -> Arc<dyn Fn() -> Result<(), Refusal> + Send + Sync> {
  let host = host.clone();
  Arc::new(move || {
    let now = host.clock.now();
    host.idempotency_keys().authorize_dispatch(&key, now)
  })
}

/// Renders a stored answer and counts it.
fn respond(host: &Host, answer: Answer) -> Response<Body> {
  host.metrics.completed_requests.inc();
  let no_content = answer.status == StatusCode::NO_CONTENT;
  let body = if no_content {
    http::empty()
  } else {
    http::full(answer.body)
  };
  let mut response = Response::new(body);
  *response.headers_mut() = answer.headers;
  *response.status_mut() = answer.status;
  response
}
