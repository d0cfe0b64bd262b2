use {
  super::{Gateway, answer, call::Call, plain, shutdown, stream},
  crate::{
    dialect::Ask,
    http::{Body, Lingering},
    refusal::{Reason, Refusal},
    routing::{self, Arrival, Kind},
  },
  hyper::{Request, Response, body::Incoming, header::HOST, http::request::Parts},
  siphasher::sip::SipHasher13,
  std::{hash::Hasher, time::Duration},
  tokio::time,
};

const CONNECT_RETRY: Duration = Duration::from_millis(300);
/// Wait of a caller that another host can serve at once.
const LEAVING_RETRY: Duration = Duration::from_millis(50);
const PREFIX: &str = "front";

/// Answers one request of a caller.
pub async fn handle(gateway: Gateway, request: Request<Incoming>) -> Response<Body> {
  let (parts, body) = request.into_parts();
  let ask = (gateway.dialect.read_request)(&parts.headers);
  let id = ask.request_id.clone();
  let mut response = match serve(&gateway, ask, parts, Lingering::new(body)).await {
    Ok(response) => response,
    Err(refusal) => {
      gateway.metrics.refuse(&refusal);
      let response = answer::refuse(&refusal);
      log::info!(
        target: PREFIX, id = id.as_deref().unwrap_or("-"), status = response.status().as_u16(),
        reason = refusal.reason.name(), ran = refusal.ran.name(), detail = refusal.detail.as_str();
        "Refused a request."
      );
      response
    }
  };
  if gateway.is_leaving() {
    answer::close(&mut response);
  }
  response
}

async fn serve(
  gateway: &Gateway,
  ask: Ask,
  parts: Parts,
  body: Lingering,
) -> Result<Response<Body>, Refusal> {
  let call = admit(gateway, ask, parts, body).await?;
  match call.route().kind {
    Kind::Stream { .. } => stream::serve(call).await,
    Kind::Once | Kind::Repeatable => plain::serve(call).await,
  }
}

async fn admit(
  gateway: &Gateway,
  metadata: Ask,
  parts: Parts,
  body: Lingering,
) -> Result<Call, Refusal> {
  let arrived = gateway.clock.now();
  let (catalog, age) = {
    let state = gateway.lock();
    let age = state.freshness.age(gateway.clock.boot());
    (state.catalog.clone(), age)
  };
  let unknown = || Refusal::not_run(Reason::NoSettings).with_retry_after(CONNECT_RETRY);
  let catalog = catalog.ok_or_else(unknown)?;
  let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
  let authority = host.or_else(|| parts.uri.authority().map(|authority| authority.as_str()));
  let arrival = Arrival {
    age,
    authority: authority.unwrap_or_default(),
    credential: metadata.credential.as_deref(),
    path: parts.uri.path(),
  };
  let admitted = routing::admit(&catalog, &arrival, &gateway.bounds())?;
  let route = &catalog.routes[admitted.route];
  let pick = hash(metadata.request_id.as_deref().unwrap_or_default());
  let service_name =
    route.service(pick).ok_or_else(|| Refusal::not_run(Reason::NoTarget))?.to_owned();
  let wait = metadata.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
  let longest = shutdown::max_answer_duration(&metadata, route, wait);
  if gateway.stop().is_some_and(|stop| !shutdown::accepts(&stop, longest)) {
    return Err(Refusal::not_run(Reason::HostLeaving).with_retry_after(LEAVING_RETRY));
  }
  let bound = gateway.settings().promises.repeats;
  gateway.lock().repeats.record_request(&service_name, &bound, arrived);
  let held = gateway.memory.read_body(&parts.headers, body, catalog.limits.body_bytes);
  let body = time::timeout(wait, held).await;
  let body = body.map_err(|_| Refusal::not_run(Reason::DeadlinePassed))??;
  let since_first_attempt = gateway.caller_age(&route.name, metadata.deadline);
  Ok(Call {
    account_key: admitted.account,
    since_first_attempt,
    arrived,
    metadata,
    body,
    deadline: arrived + wait,
    gateway: gateway.clone(),
    headers: parts.headers,
    method: parts.method,
    route_key: admitted.route,
    service_name,
    uri: parts.uri,
    catalog,
  })
}

fn hash(text: &str) -> u64 {
  let mut hasher = SipHasher13::new();
  hasher.write(text.as_bytes());
  hasher.finish()
}
