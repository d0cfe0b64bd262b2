use {
  super::strip_response,
  crate::{
    host::Host,
    http::{self, Body, BodyError, Framing},
    limit::BufferedBody,
    metrics::RetryReason,
    refusal::{Execution, Reason, Refusal},
    target::{Choice, Chosen, InFlight, Key},
    tree::{AccountKey, ServiceKey, Settings, Tree},
    upstream::{Call, Error, Pool, SendCheck, SendPermit},
  },
  hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time,
};

/// Retry time suggested to a caller when no target could be used.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of targets that are attempted for one request.
const MAX_TARGETS: usize = 8;
/// Time for a target to accept the connection that shows that it still runs; a lost packet delays a
/// connection by a second.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The body of a request to a target.
pub enum RequestBody {
  /// Buffered in memory; it can be sent repeatedly.
  Buffered(BufferedBody),
  /// Streamed from the caller; it can be sent once and is `None` afterwards, unless the request
  /// came back unsent.
  Streamed(Option<Body>),
}

/// A request to send to a target of a service.
pub struct Dispatch {
  /// The client account of the caller.
  pub account: AccountKey,
  /// The body of the request.
  pub body: RequestBody,
  /// The time by which the response head must have arrived.
  pub deadline: Instant,
  /// The headers of the request, as prepared by `strip_request`.
  pub headers: HeaderMap,
  /// The method of the request.
  pub method: Method,
  /// Decides, immediately before the first byte is sent, whether the request may be sent.
  pub dispatch_check: Arc<dyn Fn() -> Result<(), Refusal> + Send + Sync>,
  /// Whether the request may be sent again after a target may have received it.
  pub repeatable: bool,
  /// The service that the request is for.
  pub service: ServiceKey,
  /// The settings under which the request was admitted.
  pub tree: Arc<Tree>,
  /// The path and query to request from the target.
  pub uri: Uri,
}

impl Dispatch {
  fn settings_at(&self, chosen: &Chosen) -> Settings {
    let data_centre = self.tree.data_centre(&chosen.data_centre);
    self.tree.settings(Some(self.service), data_centre, Some(self.account))
  }

  /// Returns the check that runs immediately before the first byte is sent to `chosen`.
  fn send_check(&self, host: &Host, chosen: &Chosen, send_permit: &SendPermit) -> SendCheck {
    let clock = host.clock.clone();
    let deadline = self.deadline;
    let key = chosen.in_flight.key();
    let dispatch_check = Arc::clone(&self.dispatch_check);
    let repeatable = self.repeatable;
    let send_permit = send_permit.clone();
    let targets = host.targets.clone();
    Box::new(move || {
      if clock.now() >= deadline {
        return Err(Refusal::not_run(Reason::DeadlinePassed));
      }
      if !targets.lock().takes_work(key) {
        return Err(Refusal::not_run(Reason::NoTarget));
      }
      if !send_permit.acquire(repeatable) {
        return Err(Refusal::not_run(Reason::DeadlinePassed));
      }
      dispatch_check()
    })
  }

  fn build_request(&mut self) -> Request<Body> {
    let body = match &mut self.body {
      RequestBody::Buffered(buffered) if buffered.bytes.is_empty() => http::empty(),
      RequestBody::Buffered(buffered) => http::full(buffered.bytes.clone()),
      RequestBody::Streamed(body) => body.take().unwrap_or_else(http::empty),
    };
    let mut request = Request::new(body);
    *request.headers_mut() = self.headers.clone();
    *request.method_mut() = self.method.clone();
    *request.uri_mut() = self.uri.clone();
    request
  }

  /// Restores the body after a failed attempt; returns whether it can be sent again.
  ///
  /// `unsent` is the request if no byte of it was sent and the connection returned it.
  fn restore_body(&mut self, unsent: Option<Box<Request<Body>>>) -> bool {
    match (&mut self.body, unsent) {
      (RequestBody::Buffered(_), _) => true,
      (RequestBody::Streamed(body), Some(unsent)) => {
        *body = Some(unsent.into_body());
        true
      }
      (RequestBody::Streamed(_), None) => false,
    }
  }
}

/// Sends a request to a target and returns the response once its head has arrived.
///
/// Tries further targets on failure. A request that may not be repeated moves to another
/// target only while no byte of it has been sent.
///
/// # Errors
///
/// Fails with a refusal that states what is known about whether the request was executed.
pub async fn dispatch(
  host: &Host,
  mut dispatch: Dispatch,
) -> Result<(Response<Body>, InFlight), Refusal> {
  let send_permit = SendPermit::default();
  let deadline = dispatch.deadline.into();
  match time::timeout_at(deadline, try_targets(host, &mut dispatch, &send_permit)).await {
    Ok(result) => result,
    Err(_) if send_permit.revoke() => Err(Refusal::not_run(Reason::DeadlinePassed)),
    Err(_) => Err(Refusal::unknown(Reason::DeadlinePassed)),
  }
}

async fn try_targets(
  host: &Host,
  dispatch: &mut Dispatch,
  send_permit: &SendPermit,
) -> Result<(Response<Body>, InFlight), Refusal> {
  let mut reruns = 0;
  let mut tried: Vec<Key> = Vec::new();
  for _ in 0..MAX_TARGETS {
    let service = &dispatch.tree.services[dispatch.service].name;
    let acquired = host.targets.acquire(service, &tried, host.clock.now(), rand::random());
    let chosen = acquired.map_err(|choice| no_target(choice, &tried, send_permit))?;
    let key = chosen.in_flight.key();
    let account = &dispatch.tree.accounts[dispatch.account].name;
    if tried.is_empty() {
      let percent = dispatch.tree.operator_settings().retry_percent;
      host.retry_buckets.deposit(account, key, percent);
    }
    tried.push(key);
    let settings = dispatch.settings_at(&chosen);
    let call = Call {
      address: chosen.address,
      admission: None,
      connect_timeout: settings.connect_timeout,
      max_body_bytes: None,
      new_connection: !dispatch.repeatable,
      reusable: true,
      send_check: dispatch.send_check(host, &chosen, send_permit),
      request: dispatch.build_request(),
    };
    let result = host.pool.send(call).await;
    let connected = !matches!(result, Err(Error::NotSent { .. }));
    host.targets.lock().record_connection(key, connected, host.clock.now());
    match result {
      Ok(response) => {
        let response = prepare_response(&host.pool, chosen.address, response);
        return Ok((response, chosen.in_flight));
      }
      Err(Error::Denied(refusal)) if refusal.reason == Reason::NoTarget => {
        if !dispatch.restore_body(None) {
          return Err(*refusal);
        }
      }
      Err(Error::Denied(refusal)) => return Err(correct_execution(*refusal, send_permit)),
      Err(Error::NotSent { request, .. }) => {
        host.metrics.count_retry(RetryReason::Connect);
        if !dispatch.restore_body(request) {
          return Err(correct_execution(
            Refusal::not_run(Reason::TargetsUnreachable),
            send_permit,
          ));
        }
      }
      Err(Error::Sent(cause)) => {
        if !dispatch.repeatable || reruns >= settings.reruns {
          return Err(Refusal::unknown(Reason::TargetLost).with_detail(cause));
        }
        if !host.retry_buckets.try_withdraw(&dispatch.tree.accounts[dispatch.account].name, key) {
          return Err(Refusal::unknown(Reason::RetriesSpent).with_retry_after(RETRY_AFTER));
        }
        reruns += 1;
        host.metrics.count_retry(RetryReason::TargetLost);
      }
    }
  }
  Err(no_target(Choice::Unreachable, &tried, send_permit))
}

/// Refuses a request for which no further target can be attempted.
fn no_target(choice: Choice, tried: &[Key], send_permit: &SendPermit) -> Refusal {
  let reason = choice.refusal_reason(!tried.is_empty());
  correct_execution(Refusal::not_run(reason), send_permit).with_retry_after(RETRY_AFTER)
}

/// Returns the response of a target for a caller. One without a length or chunks fails at its end unless
/// the target still accepts connections, as that of a killed target ends in the same way.
fn prepare_response(
  pool: &Pool,
  target: SocketAddr,
  response: Response<Incoming>,
) -> Response<Body> {
  let mut response = if Framing::of_response(&response) == Framing::Close {
    let pool = pool.clone();
    let check = async move {
      match pool.is_listening(target, PROOF_TIMEOUT).await {
        Some(true) => Ok(()),
        _ => Err(BodyError::from("the target ended with its response")),
      }
    };
    response.map(|body| http::confirmed(body, check))
  } else {
    response.map(http::incoming)
  };
  strip_response(response.headers_mut());
  response
}

/// Changes `NotRun` to `Unknown` if an earlier attempt may have sent a byte of the request.
fn correct_execution(refusal: Refusal, send_permit: &SendPermit) -> Refusal {
  if refusal.execution == Execution::NotRun && send_permit.is_acquired() {
    return refusal.with_unknown_execution();
  }
  refusal
}
