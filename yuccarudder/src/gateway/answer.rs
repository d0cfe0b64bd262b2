use {
  crate::{
    http::{self, Body},
    refusal::{Execution, Reason, Refusal},
  },
  hyper::{
    Response, StatusCode,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
  },
  std::time::Duration,
};

/// Wait that a caller is told where the refusal names none.
const RETRY: Duration = Duration::from_millis(500);

/// Returns the status of a refusal.
///
/// Callers take 429 and 503 as a promise that the request has not run and never will.
fn status(refusal: &Refusal) -> StatusCode {
  let status = refusal.reason.status();
  match refusal.execution {
    Execution::NotRun if status.is_client_error() => status,
    Execution::NotRun => StatusCode::SERVICE_UNAVAILABLE,
    Execution::Failed | Execution::Unknown if refusal.reason == Reason::DeadlinePassed => {
      StatusCode::GATEWAY_TIMEOUT
    }
    Execution::Failed | Execution::Unknown => StatusCode::BAD_GATEWAY,
  }
}

/// Builds the answer to a refused request.
pub fn refuse(refusal: &Refusal) -> Response<Body> {
  let status = status(refusal);
  let mut response = http::json(status, refusal.json());
  if matches!(
    status,
    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
  ) {
    let after = refusal.retry_after.unwrap_or(RETRY).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{after:.2}")) {
      response.headers_mut().insert(RETRY_AFTER, value);
    }
  }
  response
}

/// Tells the caller to open another connection for its next request.
pub fn close(response: &mut Response<Body>) {
  response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
