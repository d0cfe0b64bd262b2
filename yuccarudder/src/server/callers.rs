use {
  super::models,
  crate::{
    drain::Phase,
    entries,
    generation::{self, Call, Endpoint, REATTACH_HEADER},
    host::Host,
    http::{self, Body, LingeringBody},
    plain::{self, Inbound},
    refusal::{Reason, Refusal},
    tree::{AccountKey, Tree},
  },
  hyper::{Method, Request, Response, StatusCode, Uri, body::Incoming},
  std::sync::Arc,
};

const GENERATIONS_PREFIX: &str = "/v1/generations/";
const LAST_EVENT_ID_HEADER: &str = "last-event-id";
const MODELS_PREFIX: &str = "/v1/models/";
const SERVICES_PREFIX: &str = "/v1/services/";

/// Handles one HTTP request from a caller.
pub async fn handle(host: Host, request: Request<Incoming>) -> Response<Body> {
  let request = request.map(LingeringBody::new);
  let has_key = plain::has_idempotency_key(request.headers());
  let mut response = match route(&host, request, has_key).await {
    Ok(response) => response,
    Err(refusal) => {
      host.metrics.count_refusal(&refusal);
      http::refusal_response(&refusal)
    }
  };
  if host.drain.phase(host.clock.now()) > Phase::Serving {
    http::close_connection(&mut response);
  }
  response
}

async fn route(
  host: &Host,
  request: Request<LingeringBody>,
  has_key: bool,
) -> Result<Response<Body>, Refusal> {
  let tree = host.serving_tree().map_err(|refusal| weaken_if_keyed(refusal, has_key))?;
  let account = host
    .authenticate(&tree, request.headers())
    .map_err(|refusal| weaken_if_keyed(refusal, has_key))?;
  let path = request.uri().path();
  match (request.method(), path) {
    (&Method::GET, "/v1/entries") => {
      let list = entries::list_entries(host, &tree);
      let text = serde_json::to_string(&list).expect("an entry list is serializable");
      Ok(http::json(StatusCode::OK, text))
    }
    (&Method::GET, "/v1/models") => Ok(http::json(StatusCode::OK, models::render(&tree))),
    (&Method::GET, path) if path.starts_with(MODELS_PREFIX) => {
      let name = &path[MODELS_PREFIX.len()..];
      let model = models::render_one(&tree, name);
      let model = model.ok_or_else(|| Refusal::not_run(Reason::NotFound))?;
      Ok(http::json(StatusCode::OK, model))
    }
    (&Method::POST, "/v1/chat/completions") => {
      generate(host, tree, account, Endpoint::Chat, request).await
    }
    (&Method::POST, "/v1/completions") => {
      generate(host, tree, account, Endpoint::Text, request).await
    }
    (&Method::GET, path) if path.starts_with(GENERATIONS_PREFIX) => {
      let token = path[GENERATIONS_PREFIX.len()..].to_owned();
      let last_event_id = header(&request, LAST_EVENT_ID_HEADER).and_then(|id| id.parse().ok());
      generation::reattach(host, tree, account, &token, last_event_id).await
    }
    (_, path) if path.starts_with(SERVICES_PREFIX) => {
      call_service(host, tree, account, request).await
    }
    _ => Err(weaken_if_keyed(Refusal::not_run(Reason::NotFound), has_key)),
  }
}

/// Replaces the claim that a request was not executed by `Unknown` if it has an idempotency key.
///
/// An earlier request with the same key may have been executed, which only the home host of
/// the key knows.
fn weaken_if_keyed(refusal: Refusal, has_key: bool) -> Refusal {
  if has_key {
    refusal.with_unknown_execution()
  } else {
    refusal
  }
}

async fn call_service(
  host: &Host,
  tree: Arc<Tree>,
  account: AccountKey,
  request: Request<LingeringBody>,
) -> Result<Response<Body>, Refusal> {
  let has_key = plain::has_idempotency_key(request.headers());
  let (service, uri) = split_service_uri(request.uri())
    .ok_or_else(|| weaken_if_keyed(Refusal::not_run(Reason::NotFound), has_key))?;
  let inbound = Inbound {
    account,
    request,
    service,
    tree,
    uri,
  };
  plain::handle(host, inbound).await
}

async fn generate(
  host: &Host,
  tree: Arc<Tree>,
  account: AccountKey,
  endpoint: Endpoint,
  request: Request<LingeringBody>,
) -> Result<Response<Body>, Refusal> {
  let settings = tree.settings(None, None, Some(account));
  let reattachable = header(&request, REATTACH_HEADER).is_some();
  let (head, body) = request.into_parts();
  let body = host.memory.read_body(&head.headers, body, settings.body_bytes).await?;
  let call = Call {
    account,
    body,
    reattachable,
    endpoint,
    tree,
  };
  generation::respond(host, call).await
}

fn header<'a>(request: &'a Request<LingeringBody>, name: &str) -> Option<&'a str> {
  request.headers().get(name)?.to_str().ok()
}

/// Splits `/v1/services/{service}/{path}` into the service name and the URI at the target.
fn split_service_uri(uri: &Uri) -> Option<(String, Uri)> {
  let rest = uri.path().strip_prefix(SERVICES_PREFIX)?;
  let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
  let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
  let uri = format!("/{path}{query}").parse().ok()?;
  Some((service.into(), uri))
}
