use {
  super::{call::Call, placed::Spot, retrying::Tries, sending},
  crate::{
    attempt::{Outcome, State},
    http::{self, Body},
    plain,
    refusal::Refusal,
    routing::Kind,
  },
  hyper::{Response, StatusCode, body::Incoming},
  std::time::Duration,
};

/// Largest answer; it is held whole before its caller gets it.
const MAX_ANSWER_BYTES: u64 = 1 << 20;
const PREFIX: &str = "plain";
/// Share of the time left that one try of a repeatable request may take, so that there
/// is time for another one.
const TRY_SHARE: f64 = 0.4;

/// Why a try gave no answer to go on with, with the target's own answer if it failed.
struct Failed {
  answer: Option<Response<Body>>,
  outcome: Outcome,
}

impl From<Outcome> for Failed {
  fn from(outcome: Outcome) -> Self {
    Self {
      answer: None,
      outcome,
    }
  }
}

/// Serves a request whose answer is known whole before the caller gets it.
///
/// # Errors
///
/// Refuses with what is known about whether the request ran.
pub async fn serve(call: Call) -> Result<Response<Body>, Refusal> {
  let mut tries = Tries::new(
    call.route().kind == Kind::Idempotent,
    call.route().attempt_limit,
  );
  loop {
    let spot = tries.next(&call).await?;
    let failed = match exchange(&call, &spot, patience(&call, &tries.state)).await {
      Ok(answer) => return Ok(done(&call, answer)),
      Err(failed) => failed,
    };
    if !tries.go_on(&call, failed.outcome) {
      return end(&call, &tries.state, failed);
    }
  }
}

fn done(call: &Call, answer: Response<Body>) -> Response<Body> {
  let elapsed = call.elapsed();
  let kind = call.route().kind.name();
  call
    .gateway
    .instruments
    .response_duration
    .with_label_values(&[kind])
    .observe(elapsed.as_secs_f64());
  call.gateway.metrics.answered.inc();
  log::info!(
    target: PREFIX, id = call.id(), route = call.route().name.as_str(), version = call.catalog.version,
    status = answer.status().as_u16(), elapsed_ms = elapsed.as_millis() as u64;
    "Answered a request."
  );
  answer
}

fn end(call: &Call, state: &State, failed: Failed) -> Result<Response<Body>, Refusal> {
  if let Some(answer) = failed.answer.filter(|answer| !is_promise(answer.status())) {
    return Ok(done(call, answer));
  }
  Err(call.given_up(state, failed.outcome))
}

/// Returns whether callers take a status as a promise that the request has not run.
fn is_promise(status: StatusCode) -> bool {
  matches!(
    status,
    StatusCode::REQUEST_TIMEOUT
      | StatusCode::MISDIRECTED_REQUEST
      | StatusCode::SERVICE_UNAVAILABLE
      | StatusCode::TOO_MANY_REQUESTS
  )
}

fn patience(call: &Call, state: &State) -> Duration {
  let left = call.left();
  if state.repeatable && state.runs + 1 < state.runs_allowed {
    left.mul_f64(TRY_SHARE)
  } else {
    left
  }
}

async fn exchange(call: &Call, spot: &Spot, patience: Duration) -> Result<Response<Body>, Failed> {
  let started = call.gateway.clock.now();
  let sent = call.send(spot, None, patience).await;
  let spent = call.gateway.clock.now().saturating_duration_since(started);
  let left = patience.saturating_sub(spent);
  match sent {
    Ok(response) => whole(response, left).await.ok_or_else(|| Outcome::Lost.into()),
    Err(sending::Failed { outcome, response }) => {
      let answer = match response {
        Some(response) => whole(*response, left).await,
        None => None,
      };
      Err(Failed { answer, outcome })
    }
  }
}

/// Reads an answer to its end; `None` when it breaks off, is too large or takes too long.
async fn whole(response: Response<Incoming>, left: Duration) -> Option<Response<Body>> {
  let (mut head, body) = response.into_parts();
  let bytes = tokio::time::timeout(left, http::collect(body, MAX_ANSWER_BYTES)).await.ok()??;
  plain::strip_response(&mut head.headers);
  Some(Response::from_parts(head, http::full(bytes)))
}
