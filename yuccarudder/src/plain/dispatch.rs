use {
  super::strip_response,
  crate::{
    host::Host,
    http::{self, Body},
    limit::BufferedBody,
    metrics::Retry,
    refusal::{Ran, Reason, Refusal},
    target::{Choice, Chosen, InFlight, Key},
    tree::{AccountKey, ServiceKey, Settings, Tree},
    upstream::{Call, Error, Permit, Right},
  },
  hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming},
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time,
};

const BUSY_RETRY: Duration = Duration::from_millis(500);
const MAX_TARGETS: usize = 8;

/// Where the body of a request comes from.
pub enum Source {
  /// It is held and can be sent again.
  Held(BufferedBody),
  /// It streams from the caller and can be sent once.
  Stream(Option<Body>),
}

/// One call on its way to a target.
pub struct Dispatch {
  /// The account that asked.
  pub account: AccountKey,
  /// The body of the request.
  pub body: Source,
  /// When the response head must have come.
  pub deadline: Instant,
  /// The headers of the request, ready for a target.
  pub headers: HeaderMap,
  /// The method.
  pub method: Method,
  /// Asked immediately before the first byte goes out.
  pub permit: Arc<dyn Fn() -> Result<(), Refusal> + Send + Sync>,
  /// Whether the call may be repeated.
  pub repeatable: bool,
  /// The service.
  pub service: ServiceKey,
  /// The settings under which the call was let in.
  pub tree: Arc<Tree>,
  /// The path and query at the target.
  pub uri: Uri,
}

impl Dispatch {
  fn knobs(&self, chosen: &Chosen) -> Settings {
    let data_centre = self.tree.data_centre(&chosen.data_centre);
    self.tree.settings(Some(self.service), data_centre, Some(self.account))
  }

  fn permit(&self, host: &Host, chosen: &Chosen, right: &Right) -> Permit {
    let clock = host.clock.clone();
    let deadline = self.deadline;
    let key = chosen.in_flight.key();
    let permit = Arc::clone(&self.permit);
    let repeatable = self.repeatable;
    let right = right.clone();
    let targets = host.targets.clone();
    Box::new(move || {
      if clock.now() >= deadline {
        return Err(Refusal::not_run(Reason::DeadlinePassed));
      }
      if !targets.lock().takes_work(key) {
        return Err(Refusal::not_run(Reason::NoTarget));
      }
      if !right.take(repeatable) {
        return Err(Refusal::not_run(Reason::DeadlinePassed));
      }
      permit()
    })
  }

  fn request(&mut self) -> Request<Body> {
    let body = match &mut self.body {
      Source::Held(held) if held.bytes.is_empty() => http::empty(),
      Source::Held(held) => http::full(held.bytes.clone()),
      Source::Stream(body) => body.take().unwrap_or_else(http::empty),
    };
    let mut request = Request::new(body);
    *request.headers_mut() = self.headers.clone();
    *request.method_mut() = self.method.clone();
    *request.uri_mut() = self.uri.clone();
    request
  }

  fn restore(&mut self, request: Option<Box<Request<Body>>>) -> bool {
    match (&mut self.body, request) {
      (Source::Held(_), _) => true,
      (Source::Stream(body), Some(request)) => {
        *body = Some(request.into_body());
        true
      }
      (Source::Stream(_), None) => false,
    }
  }
}

/// Sends a call to a target and returns the response head.
///
/// A call that may not be repeated is sent once; it goes to a further target
/// only while no byte of it has left.
///
/// # Errors
///
/// Refuses with what is known about whether the call ran.
pub async fn dispatch(
  host: &Host,
  mut dispatch: Dispatch,
) -> Result<(Response<Body>, InFlight), Refusal> {
  let right = Right::default();
  let deadline = dispatch.deadline.into();
  match time::timeout_at(deadline, attempts(host, &mut dispatch, &right)).await {
    Ok(result) => result,
    Err(_) if right.revoke() => Err(Refusal::not_run(Reason::DeadlinePassed)),
    Err(_) => Err(Refusal::unknown(Reason::DeadlinePassed)),
  }
}

async fn attempts(
  host: &Host,
  dispatch: &mut Dispatch,
  right: &Right,
) -> Result<(Response<Body>, InFlight), Refusal> {
  let mut reruns = 0;
  let mut tried: Vec<Key> = Vec::new();
  for _ in 0..MAX_TARGETS {
    let service = &dispatch.tree.services[dispatch.service].name;
    let admitted = host.targets.acquire(service, &tried, host.clock.now(), rand::random());
    let chosen = admitted.map_err(|choice| exhausted(choice, &tried, right))?;
    let key = chosen.in_flight.key();
    let account = &dispatch.tree.accounts[dispatch.account].name;
    if tried.is_empty() {
      let percent = dispatch.tree.operator_settings().retry_percent;
      host.retries.deposit(account, key, percent);
    }
    tried.push(key);
    let knobs = dispatch.knobs(&chosen);
    let call = Call {
      address: chosen.address,
      admission: None,
      connect_timeout: knobs.connect_timeout,
      fresh: !dispatch.repeatable,
      keep: true,
      permit: dispatch.permit(host, &chosen, right),
      request: dispatch.request(),
    };
    let result = host.pool.send(call).await;
    let connected = !matches!(result, Err(Error::NotSent { .. }));
    host.targets.lock().record_connection(key, connected, host.clock.now());
    match result {
      Ok(response) => return Ok((received(response), chosen.in_flight)),
      Err(Error::Denied(refusal)) if refusal.reason == Reason::NoTarget => {
        if !dispatch.restore(None) {
          return Err(*refusal);
        }
      }
      Err(Error::Denied(refusal)) => return Err(refused(*refusal, right)),
      Err(Error::NotSent { request, .. }) => {
        host.metrics.retry(Retry::Connect);
        if !dispatch.restore(request) {
          return Err(refused(Refusal::not_run(Reason::TargetsUnreachable), right));
        }
      }
      Err(Error::Sent(cause)) => {
        if !dispatch.repeatable || reruns >= knobs.reruns {
          return Err(Refusal::unknown(Reason::TargetLost).with_detail(cause));
        }
        if !host.retries.try_withdraw(&dispatch.tree.accounts[dispatch.account].name, key) {
          return Err(Refusal::unknown(Reason::RetriesSpent).with_retry_after(BUSY_RETRY));
        }
        reruns += 1;
        host.metrics.retry(Retry::TargetLost);
      }
    }
  }
  Err(exhausted(Choice::Unreachable, &tried, right))
}

fn exhausted(choice: Choice, tried: &[Key], right: &Right) -> Refusal {
  let reason = choice.refusal_reason(!tried.is_empty());
  refused(Refusal::not_run(reason), right).with_retry_after(BUSY_RETRY)
}

fn received(response: Response<Incoming>) -> Response<Body> {
  let mut response = response.map(http::incoming);
  strip_response(response.headers_mut());
  response
}

/// Weakens a claim that a call did not run, once a byte of it may have left.
fn refused(refusal: Refusal, right: &Right) -> Refusal {
  if refusal.ran == Ran::NotRun && right.taken() {
    return refusal.weakened();
  }
  refusal
}
