use {
  super::{Dispatch, Keyed, Source, dispatch, home, relay, strip_request},
  crate::{
    drain::Phase,
    host::Host,
    http::{self, Body, Lingering},
    once::Key,
    peer,
    refusal::{Reason, Refusal},
    ticket::Ticket,
    tree::{AccountKey, Kind, ServiceKey, Settings, Tree},
  },
  hyper::{HeaderMap, Request, Response, Uri},
  std::sync::Arc,
};

const MAX_NONCE_BYTES: usize = 128;
const NONCE_HEADER: &str = "idempotency-key";
const TICKET_HEADER: &str = "yuccarudder-ticket";

/// A caller's call to a plain service.
pub struct Inbound {
  /// The account that asked.
  pub account: AccountKey,
  /// The request as it came.
  pub request: Request<Lingering>,
  /// The name of the service.
  pub service: String,
  /// The settings under which the call was let in.
  pub tree: Arc<Tree>,
  /// The path and query at the target.
  pub uri: Uri,
}

/// Answers a call to a plain service.
///
/// # Errors
///
/// Refuses with what is known about whether the call ran.
pub async fn call(host: &Host, inbound: Inbound) -> Result<Response<Body>, Refusal> {
  let service = inbound
    .tree
    .service(&inbound.service)
    .filter(|key| inbound.tree.services[*key].kind == Kind::Plain)
    .ok_or_else(|| Refusal::not_run(Reason::NotFound))?;
  let headers = inbound.request.headers();
  let ticket = headers.get(TICKET_HEADER);
  let nonce = headers.get(NONCE_HEADER);
  let path = inbound.uri.path();
  let repeatable =
    inbound.tree.services[service].is_repeatable(inbound.request.method().as_str(), path);
  match (repeatable, ticket, nonce) {
    (true, ..) | (false, None, None) => unkeyed(host, inbound, service, repeatable).await,
    (false, Some(_), Some(_)) => keyed(host, inbound, service).await,
    (false, None, Some(_)) => Err(incomplete("an Idempotency-Key needs a Yuccarudder-Ticket")),
    (false, Some(_), None) => Err(incomplete("a Yuccarudder-Ticket needs an Idempotency-Key")),
  }
}

fn incomplete(detail: &str) -> Refusal {
  Refusal::not_run(Reason::BadRequest).with_detail(detail)
}

/// Sends a call with a key to its home, which may be this host.
///
/// Before the home has looked the key up, nobody can say that it did not run.
async fn keyed(
  host: &Host,
  inbound: Inbound,
  service: ServiceKey,
) -> Result<Response<Body>, Refusal> {
  let unknown = |reason| Refusal::unknown(reason);
  let knobs = inbound.tree.settings(Some(service), None, Some(inbound.account));
  let (mut head, body) = inbound.request.into_parts();
  let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
  let ticket = text(TICKET_HEADER)
    .and_then(|text| Ticket::open(&inbound.tree.secrets, text))
    .ok_or_else(|| unknown(Reason::TicketBad))?;
  let nonce = text(NONCE_HEADER)
    .filter(|nonce| (1..=MAX_NONCE_BYTES).contains(&nonce.len()))
    .ok_or_else(|| unknown(Reason::BadRequest))?
    .into();
  let body = host
    .memory
    .read_body(&head.headers, body, knobs.body_bytes)
    .await
    .map_err(Refusal::weakened)?;
  strip_request(&mut head.headers);
  let account = inbound.tree.accounts[inbound.account].name.as_str().into();
  let keyed = Keyed {
    body,
    headers: head.headers,
    key: Key {
      account,
      nonce,
      ticket: ticket.id,
    },
    method: head.method,
    service: inbound.service,
    ticket,
    uri: inbound.uri,
  };
  if ticket.home == host.settings.callers {
    return home::run(host, keyed).await;
  }
  peer::forward(host, &inbound.tree, keyed, knobs.deadline).await
}

async fn unkeyed(
  host: &Host,
  inbound: Inbound,
  service: ServiceKey,
  repeatable: bool,
) -> Result<Response<Body>, Refusal> {
  if host.drain.phase(host.clock.now()) >= Phase::Closed {
    return Err(Refusal::not_run(Reason::HostLeaving));
  }
  let tree = inbound.tree;
  let knobs = tree.settings(Some(service), None, Some(inbound.account));
  let place = host.admit(&tree.accounts[inbound.account].name, &knobs)?;
  let (mut head, body) = inbound.request.into_parts();
  let body = source(host, body, &head.headers, &knobs, repeatable).await?;
  strip_request(&mut head.headers);
  let deadline = host.clock.now() + knobs.deadline;
  let dispatched = Dispatch {
    account: inbound.account,
    body,
    deadline,
    headers: head.headers,
    method: head.method,
    permit: Arc::new(|| Ok(())),
    repeatable,
    service,
    tree,
    uri: inbound.uri,
  };
  let (response, in_hand) = dispatch(host, dispatched).await?;
  Ok(relay(host, response, in_hand, Some(place), deadline))
}

/// Holds a body that may have to be sent again, and streams any other.
async fn source(
  host: &Host,
  body: Lingering,
  headers: &HeaderMap,
  knobs: &Settings,
  repeatable: bool,
) -> Result<Source, Refusal> {
  let limit = knobs.body_bytes;
  if repeatable {
    let held = host.memory.read_body(headers, body, limit).await?;
    return Ok(Source::Held(held));
  }
  if http::announced(headers, 0) > limit {
    return Err(Refusal::not_run(Reason::BodyTooLarge));
  }
  Ok(Source::Stream(Some(http::limited(body, limit))))
}

/// Returns whether a request carries a key, so that only its home can say it did not run.
pub fn has_key(headers: &HeaderMap) -> bool {
  headers.contains_key(TICKET_HEADER) && headers.contains_key(NONCE_HEADER)
}
