use {
  super::{Attachment, Job, Piece, Render, Request, Session, Shape, stream, whole},
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

/// A caller's request for a generation.
pub struct Ask {
  /// The account that asked.
  pub account: AccountKey,
  /// The body of the request.
  pub body: BufferedBody,
  /// Whether the caller may come back for the rest after losing its connection.
  pub reattachable: bool,
  /// Which call was made.
  pub shape: Shape,
  /// The settings under which the job was let in.
  pub tree: Arc<Tree>,
}

/// Goes on with a generation from the token after `last`, the last one that the caller has.
///
/// # Errors
///
/// Refuses a token that is not good, and ends truthfully when the generation is lost.
pub async fn attach(
  host: &Host,
  tree: Arc<Tree>,
  account: AccountKey,
  token: &str,
  last: Option<u64>,
) -> Result<Response<Body>, Refusal> {
  let attachment = Attachment::open(&tree.secrets, token)
    .filter(|attachment| attachment.account == tree.accounts[account].name)
    .ok_or_else(|| Refusal::unknown(Reason::ReattachExpired))?;
  let left = attachment.deadline.saturating_sub(host.clock.unix());
  if left.is_zero() {
    return Err(Refusal::unknown(Reason::ReattachExpired));
  }
  let service = tree
    .service(&attachment.service)
    .ok_or_else(|| Refusal::unknown(Reason::GenerationLost))?;
  let mut job = admit(host, &tree, account, service).map_err(Refusal::weakened)?;
  job.deadline = host.clock.now() + left;
  job.reattachable = true;
  job.streamed = true;
  let from = last.map_or(0, |last| last + 1);
  let mut session = Session::attach(host.clone(), job, &attachment, from)?;
  let first = session.next().await?;
  let render = Render::new(
    attachment.shape,
    attachment.generation,
    attachment.service.clone(),
    attachment.created,
  );
  Ok(stream::response(
    host, session, render, attachment, from, first,
  ))
}

/// Answers a request for a generation, streamed or whole.
///
/// # Errors
///
/// Refuses with what is known about whether the job ran.
pub async fn respond(host: &Host, ask: Ask) -> Result<Response<Body>, Refusal> {
  let request = Request::parse(ask.shape, &ask.body.bytes)?;
  let service = ask
    .tree
    .service(&request.model)
    .filter(|key| ask.tree.services[*key].kind == Kind::Engine)
    .ok_or_else(|| Refusal::not_run(Reason::NotFound))?;
  let mut job = admit(host, &ask.tree, ask.account, service)?;
  job.reserved = Some(ask.body.reserved);
  job.body = request.engine_body(job.knobs.output_tokens);
  job.reattachable = ask.reattachable && request.stream && job.traits.resume;
  job.streamed = request.stream;
  let created = host.clock.unix();
  let session = Session::open(host.clone(), job).await?;
  if !request.stream {
    return whole::response(host, session, ask.shape, request.model, created).await;
  }
  streamed(host, session, ask.shape, request, created).await
}

fn admit(
  host: &Host,
  tree: &Arc<Tree>,
  account: AccountKey,
  service: ServiceKey,
) -> Result<Job, Refusal> {
  if host.drain.phase(host.clock.now()) >= Phase::Closed {
    return Err(Refusal::not_run(Reason::HostLeaving));
  }
  let knobs = tree.knobs(Some(service), None, Some(account));
  let place = host.admit(&tree.accounts[account].name, &knobs)?;
  Ok(Job {
    account,
    body: serde_json::Map::new(),
    deadline: host.clock.now() + knobs.deadline,
    knobs,
    place,
    reattachable: false,
    reserved: None,
    service,
    streamed: false,
    traits: tree.services[service].traits,
    tree: Arc::clone(tree),
  })
}

/// Waits for the first token, so that an early failure is a plain error response.
async fn streamed(
  host: &Host,
  mut session: Session,
  shape: Shape,
  request: Request,
  created: Duration,
) -> Result<Response<Body>, Refusal> {
  let mut first = session.next().await?;
  while first == Piece::Restart {
    first = session.next().await?;
  }
  let lost = || Refusal::unknown(Reason::GenerationLost);
  let job = session.job();
  let left = job.deadline.saturating_duration_since(host.clock.now());
  let attachment = Attachment {
    account: job.tree.accounts[job.account].name.clone(),
    created,
    deadline: host.clock.unix() + left,
    generation: session.generation(),
    include_usage: request.include_usage(),
    service: request.model.clone(),
    shape,
    target: session.target().ok_or_else(lost)?,
  };
  let render = Render::new(shape, session.generation(), request.model, created);
  Ok(stream::response(
    host, session, render, attachment, 0, first,
  ))
}
