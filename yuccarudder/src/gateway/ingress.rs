use {
  super::{Gateway, buffered, call::Call, response, shutdown, stream},
  crate::{
    dialect::RequestMetadata,
    http::{self, Body, LingeringBody},
    quarantine::Feature,
    refusal::{Reason, Refusal},
    routing::{self, Attributes, Kind},
    span,
  },
  hyper::{Request, Response, Uri, body::Incoming, header::HOST, http::request::Parts},
  siphasher::sip::SipHasher13,
  std::{
    hash::{Hash, Hasher},
    sync::{
      Arc, OnceLock,
      atomic::{AtomicBool, Ordering},
    },
    time::Duration,
  },
  tokio::time,
};

/// Retry-after time while this host has no catalog.
const NO_CATALOG_RETRY_AFTER: Duration = Duration::from_millis(300);
const PREFIX: &str = "front";

/// Handles one request of a caller; a refusal becomes an error response.
pub async fn handle(gateway: Gateway, request: Request<Incoming>) -> Response<Body> {
  let in_hand = gateway.in_hand.token();
  let (parts, body) = request.into_parts();
  let metadata = (gateway.dialect.read_request)(&parts.headers);
  let id = metadata.request_id.clone();
  let account = OnceLock::new();
  let body = LingeringBody::new(body);
  let mut response = match serve(&gateway, metadata, parts, body, &account).await {
    Ok(response) => response,
    Err(refusal) => {
      gateway.metrics.count_refusal(&refusal);
      let account = account.get().map(String::as_str);
      gateway.count_account_refusal(account);
      let response = response::from_refusal(&refusal);
      log::info!(
        target: PREFIX, id = id.as_deref().unwrap_or("-"), account = account.unwrap_or("-"), status = response.status().as_u16(),
        reason = refusal.reason.name(), ran = refusal.execution.name(), detail = refusal.detail.as_str();
        "Refused a request."
      );
      response
    }
  };
  if gateway.is_shutting_down() {
    response::close_connection(&mut response);
  }
  response.map(|body| http::keeping(body, in_hand))
}

async fn serve(
  gateway: &Gateway,
  metadata: RequestMetadata,
  parts: Parts,
  body: LingeringBody,
  account: &OnceLock<String>,
) -> Result<Response<Body>, Refusal> {
  let may_have_run = Arc::new(AtomicBool::new(
    metadata.forwarded.is_some_and(|forwarded| forwarded.possible_runs > 0),
  ));
  let response = async {
    let call = admit(
      gateway,
      metadata,
      parts,
      body,
      account,
      Arc::clone(&may_have_run),
    )
    .await?;
    match call.route().kind {
      Kind::Stream { .. } => stream::serve(call).await,
      Kind::AtMostOnce | Kind::Idempotent => buffered::serve(call).await,
    }
  };
  tokio::select! {
    biased;
    response = response => response,
    () = gateway.closing.cancelled() => Err(shutdown::last_refusal(may_have_run.load(Ordering::Relaxed))),
  }
}

/// Admits a request, chooses its service and buffers its body.
async fn admit(
  gateway: &Gateway,
  metadata: RequestMetadata,
  parts: Parts,
  body: LingeringBody,
  account_name: &OnceLock<String>,
  may_have_run: Arc<AtomicBool>,
) -> Result<Call, Refusal> {
  let arrived = gateway.clock.now();
  let (catalog, age) = {
    let state = gateway.lock();
    let age = state.freshness.age(gateway.clock.since_boot());
    (state.catalog.clone(), age)
  };
  let no_catalog = || Refusal::not_run(Reason::NoSettings).with_retry_after(NO_CATALOG_RETRY_AFTER);
  let catalog = catalog.ok_or_else(no_catalog)?;
  let host_header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
  let authority = host_header.or_else(|| parts.uri.authority().map(|authority| authority.as_str()));
  let attributes = Attributes {
    age,
    authority: authority.unwrap_or_default(),
    credential: metadata.credential.as_deref(),
    path: parts.uri.path(),
  };
  let admission = routing::admit(&catalog, &attributes, &gateway.age_limits())?;
  if let Some(key) = admission.account {
    account_name.get_or_init(|| catalog.accounts[key].name.clone());
  }
  let route = &catalog.routes[admission.route];
  let request_hash = hash(metadata.request_id.as_deref().unwrap_or_default());
  let service_name = route
    .choose_service(request_hash)
    .ok_or_else(|| Refusal::not_run(Reason::NoTarget))?
    .to_owned();
  let timeout = metadata.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
  if let Some(progress) = gateway.shutdown_progress() {
    let time = gateway.response_time(&metadata, route, timeout);
    progress.check(&time)?;
    log::info!(
      target: PREFIX, id = metadata.request_id.as_deref().unwrap_or("-"),
      expected_ms = time.expected.as_millis() as u64, max_ms = time.max.as_millis() as u64,
      elapsed_ms = progress.elapsed.as_millis() as u64, remaining_ms = progress.remaining.as_millis() as u64,
      ready_peers = progress.ready_peers, hosts = progress.hosts;
      "Accepted a request while shutting down."
    );
  }
  let forwarding_permit = match &metadata.forwarded {
    Some(_) => Some(gateway.reserve_forwarded()?),
    None => None,
  };
  if !metadata.forwarded.is_some_and(|forwarded| forwarded.is_counted) {
    let budget = gateway.settings().guarantees.retry_budget;
    gateway.lock().retry_budget.record_request(&service_name, &budget, arrived);
  }
  let buffered_body = gateway.memory.read_body(&parts.headers, body, catalog.limits.max_body_bytes);
  let body = time::timeout(timeout, buffered_body).await;
  let body = body.map_err(|_| Refusal::not_run(Reason::DeadlinePassed))??;
  let account = admission.account.map(|key| catalog.accounts[key].name.as_str());
  let content = Feature::Content(hash_content(&parts.uri, account, &body.bytes));
  let prompt_parts = metadata.shared_parts().iter().copied().map(Feature::PromptPart);
  let features = [content].into_iter().chain(prompt_parts).collect();
  let since_first_attempt = match &metadata.forwarded {
    Some(forwarded) => forwarded.since_first_attempt,
    None => gateway.time_since_first_attempt(&route.name, metadata.timeout),
  };
  Ok(Call {
    account_key: admission.account,
    since_first_attempt,
    arrived,
    counted_elsewhere: AtomicBool::new(false),
    features,
    body,
    deadline: span::after(arrived, timeout),
    _forwarding_permit: forwarding_permit,
    gateway: gateway.clone(),
    may_have_run,
    headers: parts.headers,
    metadata,
    method: parts.method,
    route_key: admission.route,
    service_name,
    uri: parts.uri,
    version: None,
    catalog,
  })
}

/// Hashes what a request asks for and for whom; equal for all repeats of a request, at any host.
fn hash_content(uri: &Uri, account: Option<&str>, body: &[u8]) -> u64 {
  let mut hasher = SipHasher13::new();
  (uri.path(), uri.query(), account, body).hash(&mut hasher);
  hasher.finish()
}

/// Hashes a request ID or the name of a service.
pub(super) fn hash(text: &str) -> u64 {
  let mut hasher = SipHasher13::new();
  hasher.write(text.as_bytes());
  hasher.finish()
}
