use {
  super::models,
  crate::{
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

const GENERATIONS: &str = "/v1/generations/";
const LAST_EVENT_ID: &str = "last-event-id";
const MODELS: &str = "/v1/models/";
const SERVICES: &str = "/v1/services/";

/// Answers one request of a caller.
pub async fn handle(host: Host, request: Request<Incoming>) -> Response<Body> {
  let request = request.map(LingeringBody::new);
  let keyed = plain::has_idempotency_key(request.headers());
  match route(&host, request, keyed).await {
    Ok(response) => response,
    Err(refusal) => {
      host.metrics.count_refusal(&refusal);
      http::refusal_response(&refusal)
    }
  }
}

async fn route(
  host: &Host,
  request: Request<LingeringBody>,
  keyed: bool,
) -> Result<Response<Body>, Refusal> {
  let tree = host.serving().map_err(|refusal| before_home(refusal, keyed))?;
  let account = host
    .authenticate(&tree, request.headers())
    .map_err(|refusal| before_home(refusal, keyed))?;
  let path = request.uri().path();
  match (request.method(), path) {
    (&Method::GET, "/v1/entries") => {
      let answer = entries::answer(host, &tree);
      let text = serde_json::to_string(&answer).expect("an answer is serializable");
      Ok(http::json(StatusCode::OK, text))
    }
    (&Method::GET, "/v1/models") => Ok(http::json(StatusCode::OK, models::render(&tree))),
    (&Method::GET, path) if path.starts_with(MODELS) => {
      let name = &path[MODELS.len()..];
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
    (&Method::GET, path) if path.starts_with(GENERATIONS) => {
      let token = path[GENERATIONS.len()..].to_owned();
      let last = header(&request, LAST_EVENT_ID).and_then(|id| id.parse().ok());
      generation::reattach(host, tree, account, &token, last).await
    }
    (_, path) if path.starts_with(SERVICES) => call(host, tree, account, request).await,
    _ => Err(before_home(Refusal::not_run(Reason::NotFound), keyed)),
  }
}

/// Weakens `not_run`, which only the home may say of a job with a key.
fn before_home(refusal: Refusal, keyed: bool) -> Refusal {
  if keyed {
    refusal.with_unknown_execution()
  } else {
    refusal
  }
}

async fn call(
  host: &Host,
  tree: Arc<Tree>,
  account: AccountKey,
  request: Request<LingeringBody>,
) -> Result<Response<Body>, Refusal> {
  let keyed = plain::has_idempotency_key(request.headers());
  let (service, uri) =
    target(request.uri()).ok_or_else(|| before_home(Refusal::not_run(Reason::NotFound), keyed))?;
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
  let knobs = tree.knobs(None, None, Some(account));
  let reattachable = header(&request, REATTACH_HEADER).is_some();
  let (head, body) = request.into_parts();
  let body = host.memory.read_body(&head.headers, body, knobs.body_bytes).await?;
  let ask = Call {
    account,
    body,
    reattachable,
    endpoint,
    tree,
  };
  generation::respond(host, ask).await
}

fn header<'a>(request: &'a Request<LingeringBody>, name: &str) -> Option<&'a str> {
  request.headers().get(name)?.to_str().ok()
}

/// Splits `/v1/services/{service}/{path}` into the service and the target's own URI.
fn target(uri: &Uri) -> Option<(String, Uri)> {
  let rest = uri.path().strip_prefix(SERVICES)?;
  let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
  let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
  let uri = format!("/{path}{query}").parse().ok()?;
  Some((service.into(), uri))
}
