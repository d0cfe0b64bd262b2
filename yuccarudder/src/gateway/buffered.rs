use {
  super::{assignment::Assignment, breaks::Cause, call::Call, forwarding, race::Race, sending},
  crate::{
    attempt::{History, Outcome},
    http::{self, Body, Framing},
    limit::BufferedBody,
    plain,
    refusal::Refusal,
  },
  hyper::{
    Response,
    body::{Body as _, Incoming},
  },
  std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
  },
};

/// Maximum size of a response, which is buffered before it is sent to the caller.
pub(super) const MAX_RESPONSE_BYTES: u64 = 1 << 20;
const PREFIX: &str = "plain";

/// The outcome of a failed attempt, and the response of the target if the target itself failed
/// the request and its response was read completely.
pub(super) struct Failure {
  pub response: Option<Response<Body>>,
  pub outcome: Outcome,
}

impl From<Outcome> for Failure {
  fn from(outcome: Outcome) -> Self {
    Self {
      response: None,
      outcome,
    }
  }
}

/// Serves a request whose response is buffered completely before it is sent to the caller.
///
/// # Errors
///
/// Returns a refusal that states whether the request ran, as far as is known.
pub async fn serve(call: Call) -> Result<Response<Body>, Refusal> {
  Race::new(&call).run().await
}

/// Records a response in the metrics and the log.
pub(super) fn finish(call: &Call, response: Response<Body>) -> Response<Body> {
  let elapsed = call.elapsed();
  let kind = call.route().kind.name();
  call
    .gateway
    .instruments
    .response_duration
    .with_label_values(&[kind])
    .observe(elapsed.as_secs_f64());
  call.gateway.metrics.completed_requests.inc();
  log::info!(
    target: PREFIX, id = call.id(), route = call.route().name.as_str(), version = call.catalog.version,
    status = response.status().as_u16(), elapsed_ms = elapsed.as_millis() as u64,
    framing = response.extensions().get::<Framing>().map(|framing| framing.name()),
    bytes = response.body().size_hint().exact();
    "Answered a request."
  );
  response
}

/// Sends a request to a target once and reads the response; sets `is_answering` when its head arrives.
pub(super) async fn exchange(
  call: &Call,
  assignment: &Assignment,
  timeout: Duration,
  is_answering: &AtomicBool,
) -> Result<Response<Body>, Failure> {
  let started_at = call.gateway.clock.now();
  let result = call.send(assignment, None, timeout).await;
  is_answering.store(true, Ordering::Relaxed);
  let answered_at = call.gateway.clock.now();
  let remaining = timeout.saturating_sub(answered_at.saturating_duration_since(started_at));
  match result {
    Ok(response) => {
      let (whole, ended_at) = call.read_whole(assignment, response, remaining).await;
      match whole {
        Some(_) => call.report_sound(answered_at),
        None => {
          let cause = Cause::ConnectionLost;
          call.report_break(assignment, Some(answered_at), ended_at, cause).await;
        }
      }
      whole.ok_or_else(|| Outcome::Lost.into())
    }
    Err(sending::Failure { outcome, response }) => {
      let response = match response {
        Some(response) => call.read_whole(assignment, *response, remaining).await.0,
        None => None,
      };
      Err(Failure { response, outcome })
    }
  }
}

impl Call {
  /// Reads the response of a target to its end, and returns when that was; the response is `None` when it is
  /// cut off, is too large, takes too long, or is not proven to be whole.
  pub(super) async fn read_whole(
    &self,
    assignment: &Assignment,
    response: Response<Incoming>,
    timeout: Duration,
  ) -> (Option<Response<Body>>, Instant) {
    let clock = &self.gateway.clock;
    let answered_at = clock.now();
    let response = self.read_body(response, timeout).await;
    let ended_at = clock.now();
    let Some(response) = response else {
      return (None, ended_at);
    };
    if response.extensions().get() == Some(&Framing::Close) {
      let remaining = timeout.saturating_sub(ended_at.saturating_duration_since(answered_at));
      if !self.is_proven_whole(assignment, answered_at, None, remaining).await {
        return (None, ended_at);
      }
    }
    (Some(response), ended_at)
  }

  /// Reads a response to its end; returns `None` when it is cut off, is too large, takes too long or does not
  /// fit into the memory left. Its framing is among the extensions of the result.
  async fn read_body(
    &self,
    response: Response<Incoming>,
    timeout: Duration,
  ) -> Option<Response<Body>> {
    let framing = Framing::of_response(&response);
    let (mut head, body) = response.into_parts();
    head.extensions.insert(framing);
    let body = self.gateway.response_memory.read_response_body(body, MAX_RESPONSE_BYTES);
    let BufferedBody { bytes, reservation } = tokio::time::timeout(timeout, body).await.ok()??;
    plain::strip_response(&mut head.headers);
    let body = http::keeping(http::full(bytes), reservation);
    Some(Response::from_parts(head, body))
  }
}

/// Passes a request on to another host and reads the response.
pub(super) async fn exchange_with_host(
  call: &Call,
  host: SocketAddr,
  history: &History,
) -> Result<Response<Body>, Failure> {
  match call.hand_over(host, history, None, &[]).await {
    Ok(response) => {
      let whole = call.read_body(response, call.time_left()).await;
      whole.ok_or_else(|| Outcome::Lost.into())
    }
    Err(failure) => Err(Failure {
      response: failure.response.map(|response| forwarding::relay(call, *response)),
      outcome: failure.outcome,
    }),
  }
}
