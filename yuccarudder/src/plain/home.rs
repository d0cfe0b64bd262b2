use {
  super::{Dispatch, Keyed, Source, dispatch, relay},
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

const FULL_RETRY: Duration = Duration::from_secs(1);

/// Runs a call at its home, or answers as it ended before.
///
/// The run goes on when the caller leaves, so that its outcome is remembered.
///
/// # Errors
///
/// Refuses with what is known about whether the call ran.
pub async fn run(host: &Host, keyed: Keyed) -> Result<Response<Body>, Refusal> {
  if keyed.ticket.home != host.settings.callers || keyed.ticket.incarnation != host.incarnation {
    return Err(Refusal::unknown(Reason::HomeGone));
  }
  let expires = host.started + keyed.ticket.expires;
  let now = host.clock.now();
  let claim = host.once().claim(&keyed.key, keyed.fingerprint(), expires, now);
  let outcome = match claim {
    Claim::Ended(outcome) => outcome,
    Claim::Expired => return Err(Refusal::unknown(Reason::TicketExpired)),
    Claim::Full => {
      return Err(Refusal::unknown(Reason::OutcomesFull).with_retry_after(FULL_RETRY));
    }
    Claim::Reused => return Err(Refusal::unknown(Reason::KeyReused)),
    Claim::Run => return first(host, keyed).await,
    Claim::Wait(mut ended) => match ended.wait_for(Option::is_some).await {
      Ok(outcome) => outcome.clone().unwrap_or(Outcome::NotKept),
      Err(_) => Outcome::NotKept,
    },
  };
  Ok(response(host, outcome.into_answer()?))
}

/// Runs a claimed call and hands its first answer to the caller as it comes.
async fn first(host: &Host, keyed: Keyed) -> Result<Response<Body>, Refusal> {
  let (sender, receiver) = oneshot::channel();
  let running = host.clone();
  tokio::spawn(async move {
    let host = running;
    let key = keyed.key.clone();
    let (outcome, large) = match finish(&host, keyed).await {
      Ok(End::Answer(answer)) => (Outcome::Answer(answer), None),
      Ok(End::Large(response)) => (Outcome::NotKept, Some(*response)),
      Err(refusal) => (Outcome::Refused(refusal), None),
    };
    let outcome = host.once().finish(&key, outcome);
    // The caller may be gone; its outcome is remembered all the same.
    let _ = sender.send((outcome, large));
  });
  match receiver.await {
    Ok((_, Some(large))) => Ok(large),
    Ok((outcome, None)) => Ok(response(host, outcome.into_answer()?)),
    Err(_) => Err(Refusal::unknown(Reason::TargetLost)),
  }
}

enum End {
  Answer(Answer),
  Large(Box<Response<Body>>),
}

async fn finish(host: &Host, keyed: Keyed) -> Result<End, Refusal> {
  let tree = host.tree()?;
  if host.drain.phase(host.clock.now()) >= Phase::Closed {
    return Err(Refusal::not_run(Reason::HostLeaving));
  }
  let missing = |reason| move || Refusal::not_run(reason);
  let service = tree.service(&keyed.service).ok_or_else(missing(Reason::NotFound))?;
  let account =
    tree.account_by_name(&keyed.key.account).ok_or_else(missing(Reason::Unauthorized))?;
  let knobs = tree.settings(Some(service), None, Some(account));
  let place = host.admit(&keyed.key.account, &knobs)?;
  let _room = host.memory.reserve(knobs.answer_bytes)?;
  let deadline = host.clock.now() + knobs.deadline;
  let limit = usize::try_from(knobs.answer_bytes).unwrap_or(usize::MAX);
  let dispatched = Dispatch {
    account,
    body: Source::Held(keyed.body),
    deadline,
    headers: keyed.headers,
    method: keyed.method,
    permit: permit(host, keyed.key),
    repeatable: false,
    service,
    tree: Arc::<Tree>::clone(&tree),
    uri: keyed.uri,
  };
  let (response, in_hand) = dispatch(host, dispatched).await?;
  let gathered = gather(host, response, (in_hand, place), deadline, limit);
  match time::timeout_at(deadline.into(), gathered).await {
    Ok(result) => result,
    Err(_) => Err(Refusal::unknown(Reason::DeadlinePassed)),
  }
}

/// Reads an answer up to the bound; a larger one is passed on as it comes.
async fn gather(
  host: &Host,
  response: Response<Body>,
  (in_hand, place): (InFlight, Permit),
  deadline: Instant,
  limit: usize,
) -> Result<End, Refusal> {
  let (head, body) = response.into_parts();
  let mut stream = body.into_data_stream();
  let mut kept = BytesMut::new();
  while let Some(chunk) = stream.next().await {
    let chunk = chunk.map_err(|_| Refusal::unknown(Reason::TargetLost))?;
    kept.extend_from_slice(&chunk);
    if kept.len() > limit {
      let rest = futures::stream::iter([Ok(kept.freeze())]).chain(stream);
      let body = StreamBody::new(rest.map(|chunk| chunk.map(Frame::<Bytes>::data)));
      let response = Response::from_parts(head, body.boxed_unsync());
      let response = relay(host, response, in_hand, Some(place), deadline);
      return Ok(End::Large(Box::new(response)));
    }
  }
  Ok(End::Answer(Answer {
    body: kept.freeze(),
    headers: head.headers,
    status: head.status,
  }))
}

fn permit(host: &Host, key: Key) -> Arc<dyn Fn() -> Result<(), Refusal> + Send + Sync> {
  let host = host.clone();
  Arc::new(move || {
    let now = host.clock.now();
    host.once().send(&key, now)
  })
}

fn response(host: &Host, answer: Answer) -> Response<Body> {
  host.metrics.answered.inc();
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
