use {
  super::{Dispatch, KeyedRequest, RequestBody, dispatch, home, relay, strip_request},
  crate::{
    drain::Phase,
    host::Host,
    http::{self, Body, LingeringBody},
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
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const TICKET_HEADER: &str = "yuccarudder-ticket";

/// A caller's request for a plain service.
pub struct Inbound {
  /// The client account of the caller.
  pub account: AccountKey,
  /// The request as the caller sent it.
  pub request: Request<LingeringBody>,
  /// The name of the service.
  pub service: String,
  /// The settings under which the request was admitted.
  pub tree: Arc<Tree>,
  /// The path and query to request from the target.
  pub uri: Uri,
}

/// Serves a request for a plain service.
///
/// # Errors
///
/// Fails with a refusal that states what is known about whether the request was executed.
pub async fn handle(host: &Host, inbound: Inbound) -> Result<Response<Body>, Refusal> {
  let service = inbound
    .tree
    .service(&inbound.service)
    .filter(|key| inbound.tree.services[*key].kind == Kind::Plain)
    .ok_or_else(|| Refusal::not_run(Reason::NotFound))?;
  let headers = inbound.request.headers();
  let ticket = headers.get(TICKET_HEADER);
  let nonce = headers.get(IDEMPOTENCY_KEY_HEADER);
  let path = inbound.uri.path();
  let repeatable =
    inbound.tree.services[service].is_repeatable(inbound.request.method().as_str(), path);
  match (repeatable, ticket, nonce) {
    (true, ..) | (false, None, None) => handle_unkeyed(host, inbound, service, repeatable).await,
    (false, Some(_), Some(_)) => handle_keyed(host, inbound, service).await,
    (false, None, Some(_)) => Err(missing_header(
      "an Idempotency-Key needs a Yuccarudder-Ticket",
    )),
    (false, Some(_), None) => Err(missing_header(
      "a Yuccarudder-Ticket needs an Idempotency-Key",
    )),
  }
}

fn missing_header(detail: &str) -> Refusal {
  Refusal::not_run(Reason::BadRequest).with_detail(detail)
}

/// Executes a request with an idempotency key at the key's home host, which may be this one.
///
/// Failures before the home has looked up the key are `Unknown`: only the home knows
/// whether an earlier request with the key was executed.
async fn handle_keyed(
  host: &Host,
  inbound: Inbound,
  service: ServiceKey,
) -> Result<Response<Body>, Refusal> {
  let unknown = |reason| Refusal::unknown(reason);
  let settings = inbound.tree.settings(Some(service), None, Some(inbound.account));
  let (mut head, body) = inbound.request.into_parts();
  let header_text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
  let ticket = header_text(TICKET_HEADER)
    .and_then(|text| Ticket::verify(&inbound.tree.secrets, text))
    .ok_or_else(|| unknown(Reason::TicketBad))?;
  let nonce = header_text(IDEMPOTENCY_KEY_HEADER)
    .filter(|nonce| (1..=MAX_NONCE_BYTES).contains(&nonce.len()))
    .ok_or_else(|| unknown(Reason::BadRequest))?
    .into();
  let body = host
    .memory
    .read_body(&head.headers, body, settings.body_bytes)
    .await
    .map_err(Refusal::with_unknown_execution)?;
  strip_request(&mut head.headers);
  let account = inbound.tree.accounts[inbound.account].name.as_str().into();
  let request = KeyedRequest {
    body,
    headers: head.headers,
    key: Key {
      account,
      nonce,
      ticket_id: ticket.id,
    },
    method: head.method,
    service: inbound.service,
    ticket,
    uri: inbound.uri,
  };
  if ticket.home == host.settings.callers {
    return home::run_at_home(host, request).await;
  }
  peer::forward(host, &inbound.tree, request, settings.deadline).await
}

/// Sends a request without an idempotency key to a target, from this host.
async fn handle_unkeyed(
  host: &Host,
  inbound: Inbound,
  service: ServiceKey,
  repeatable: bool,
) -> Result<Response<Body>, Refusal> {
  if host.drain.phase(host.clock.now()) >= Phase::Closed {
    return Err(Refusal::not_run(Reason::HostLeaving));
  }
  let tree = inbound.tree;
  let settings = tree.settings(Some(service), None, Some(inbound.account));
  let job_permit = host.admit(&tree.accounts[inbound.account].name, &settings)?;
  let (mut head, body) = inbound.request.into_parts();
  let body = request_body(host, body, &head.headers, &settings, repeatable).await?;
  strip_request(&mut head.headers);
  let deadline = host.clock.now() + settings.deadline;
  let outgoing = Dispatch {
    account: inbound.account,
    body,
    deadline,
    headers: head.headers,
    method: head.method,
    dispatch_check: Arc::new(|| Ok(())),
    repeatable,
    service,
    tree,
    uri: inbound.uri,
  };
  let (response, in_flight) = dispatch(host, outgoing).await?;
  Ok(relay(host, response, in_flight, Some(job_permit), deadline))
}

/// Buffers the body of a request that may be repeated, and streams any other.
async fn request_body(
  host: &Host,
  body: LingeringBody,
  headers: &HeaderMap,
  settings: &Settings,
  repeatable: bool,
) -> Result<RequestBody, Refusal> {
  let limit = settings.body_bytes;
  if repeatable {
    let buffered = host.memory.read_body(headers, body, limit).await?;
    return Ok(RequestBody::Buffered(buffered));
  }
  if http::content_length(headers, 0) > limit {
    return Err(Refusal::not_run(Reason::BodyTooLarge));
  }
  Ok(RequestBody::Streamed(Some(http::limited(body, limit))))
}

/// Returns whether a request carries an idempotency key and its ticket.
///
/// Only the home host of such a key knows whether the request was executed.
pub fn has_idempotency_key(headers: &HeaderMap) -> bool {
  headers.contains_key(TICKET_HEADER) && headers.contains_key(IDEMPOTENCY_KEY_HEADER)
}
