use {
  super::{Endpoint, Job, Output, ReattachClaims, Renderer, Request, Session, buffered, stream},
  crate::{
    drain::Phase,
    host::Host,
    http::Body,
    limit::BufferedBody,
    refusal::{Reason, Refusal},
    tree::{AccountKey, Kind, ServiceKey, Tree},
  },
  hyper::Response,
  std::{sync::Arc, time::Duration},
};

/// A request for a generation, with the context in which it was received.
pub struct Call {
  /// The client account that sent the request.
  pub account: AccountKey,
  /// The body of the request.
  pub body: BufferedBody,
  /// Whether the caller asks to be able to resume the stream after losing its connection.
  pub reattachable: bool,
  /// The API endpoint that was called.
  pub endpoint: Endpoint,
  /// The settings to apply.
  pub tree: Arc<Tree>,
}

/// Resumes the stream of a generation after the token at `last_index`, the last one that the caller
/// received.
///
/// `token` is the reattach token.
///
/// # Errors
///
/// Returns a refusal if the token is invalid or expired, if the job is not admitted or if the
/// generation is lost. The refusal never states that the job was not run, as it was started before.
pub async fn reattach(
  host: &Host,
  tree: Arc<Tree>,
  account: AccountKey,
  token: &str,
  last_index: Option<u64>,
) -> Result<Response<Body>, Refusal> {
  let claims = ReattachClaims::verify(&tree.secrets, token)
    .filter(|claims| claims.account == tree.accounts[account].name)
    .ok_or_else(|| Refusal::unknown(Reason::ReattachExpired))?;
  let remaining = claims.deadline.saturating_sub(host.clock.unix_time());
  if remaining.is_zero() {
    return Err(Refusal::unknown(Reason::ReattachExpired));
  }
  let service =
    tree.service(&claims.service).ok_or_else(|| Refusal::unknown(Reason::GenerationLost))?;
  let mut job = admit(host, &tree, account, service).map_err(Refusal::with_unknown_execution)?;
  job.deadline = host.clock.now() + remaining;
  job.reattachable = true;
  job.streamed = true;
  let from = last_index.map_or(0, |last_index| last_index + 1);
  let mut session = Session::reattach(host.clone(), job, &claims, from)?;
  let first = session.next().await?;
  let renderer = Renderer::new(
    claims.endpoint,
    claims.generation,
    claims.service.clone(),
    claims.created,
  );
  Ok(stream::response(
    host, session, renderer, claims, from, first,
  ))
}

/// Runs the requested generation and returns a streamed or buffered response.
///
/// # Errors
///
/// Returns a refusal that states what is known about whether the job was executed.
pub async fn respond(host: &Host, call: Call) -> Result<Response<Body>, Refusal> {
  let request = Request::parse(call.endpoint, &call.body.bytes)?;
  let service = call
    .tree
    .service(&request.model)
    .filter(|key| call.tree.services[*key].kind == Kind::Engine)
    .ok_or_else(|| Refusal::not_run(Reason::NotFound))?;
  let mut job = admit(host, &call.tree, call.account, service)?;
  job.request_memory = Some(call.body.reservation);
  job.body = request.engine_body(job.settings.output_tokens);
  job.reattachable = call.reattachable && request.stream && job.capabilities.resume;
  job.streamed = request.stream;
  let created = host.clock.unix_time();
  let session = Session::open(host.clone(), job).await?;
  if !request.stream {
    return buffered::response(host, session, call.endpoint, request.model, created).await;
  }
  respond_streamed(host, session, call.endpoint, request, created).await
}

/// Admits a job; its body and options are set by the caller of this function.
fn admit(
  host: &Host,
  tree: &Arc<Tree>,
  account: AccountKey,
  service: ServiceKey,
) -> Result<Job, Refusal> {
  if host.drain.phase(host.clock.now()) >= Phase::Closed {
    return Err(Refusal::not_run(Reason::HostLeaving));
  }
  let settings = tree.settings(Some(service), None, Some(account));
  let job_permit = host.admit(&tree.accounts[account].name, &settings)?;
  Ok(Job {
    account,
    body: serde_json::Map::new(),
    deadline: host.clock.now() + settings.deadline,
    settings,
    job_permit,
    reattachable: false,
    request_memory: None,
    service,
    streamed: false,
    capabilities: tree.services[service].capabilities,
    tree: Arc::clone(tree),
  })
}

/// Builds a streamed response.
///
/// Waits for the first token, so that an earlier failure is returned as an HTTP error status rather
/// than as an event.
async fn respond_streamed(
  host: &Host,
  mut session: Session,
  endpoint: Endpoint,
  request: Request,
  created: Duration,
) -> Result<Response<Body>, Refusal> {
  let mut first = session.next().await?;
  while first == Output::Restart {
    first = session.next().await?;
  }
  let generation_lost = || Refusal::unknown(Reason::GenerationLost);
  let job = session.job();
  let remaining = job.deadline.saturating_duration_since(host.clock.now());
  let claims = ReattachClaims {
    account: job.tree.accounts[job.account].name.clone(),
    created,
    deadline: host.clock.unix_time() + remaining,
    generation: session.generation(),
    include_usage: request.include_usage(),
    service: request.model.clone(),
    endpoint,
    target: session.target_address().ok_or_else(generation_lost)?,
  };
  let renderer = Renderer::new(endpoint, session.generation(), request.model, created);
  Ok(stream::response(host, session, renderer, claims, 0, first))
}
