pub use crate::http::close_connection;

use {
  crate::{
    http::{self, Body},
    refusal::{Execution, Reason, Refusal},
  },
  hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
  },
  std::time::Duration,
};

/// Retry-after time in a response where the refusal has none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the HTTP status for a refusal.
///
/// Callers take 429 and 503 as a guarantee that the request did not and will not run.
fn status(refusal: &Refusal) -> StatusCode {
  let status = refusal.reason.status();
  match refusal.execution {
    // The caller is not to send the request again, whether or not it ran.
    _ if matches!(
      refusal.reason,
      Reason::PromptQuarantined | Reason::RequestQuarantined
    ) =>
    {
      status
    }
    Execution::NotRun if status.is_client_error() => status,
    Execution::NotRun => StatusCode::SERVICE_UNAVAILABLE,
    Execution::Failed | Execution::Unknown if refusal.reason == Reason::DeadlinePassed => {
      StatusCode::GATEWAY_TIMEOUT
    }
    Execution::Failed | Execution::Unknown => StatusCode::BAD_GATEWAY,
  }
}

/// Builds the response to a refused request.
pub fn from_refusal(refusal: &Refusal) -> Response<Body> {
  let status = status(refusal);
  let mut response = http::json(status, refusal.json());
  if matches!(
    status,
    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
  ) {
    let after = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{after:.2}")) {
      response.headers_mut().insert(RETRY_AFTER, value);
    }
  }
  response
}
