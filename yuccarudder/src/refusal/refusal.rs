use {
  super::{Execution, Reason},
  serde::{Deserialize, Serialize},
  serde_with::{DurationMilliSeconds, serde_as},
  std::{fmt, time::Duration},
};

/// Why a request was refused or ended early, and whether it was executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
  /// Details for a person, added to the reason's message; may be empty.
  pub detail: String,
  /// What is known about whether a target executed the request.
  pub execution: Execution,
  /// Why the request was refused or ended early.
  pub reason: Reason,
  /// The time after which to retry, if a retry may succeed.
  pub retry_after: Option<Duration>,
}

#[serde_as]
#[derive(Serialize)]
struct ErrorObject<'a> {
  code: &'a str,
  message: String,
  param: Option<&'a str>,
  ran: Execution,
  #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
  retry_after_ms: Option<Duration>,
  r#type: &'a str,
}

#[derive(Deserialize, Serialize)]
struct Envelope<T> {
  error: T,
}

impl Refusal {
  /// Builds a refusal of a request that was sent to a target and ended without a complete
  /// response.
  pub fn failed(reason: Reason) -> Self {
    Self::new(Execution::Failed, reason)
  }

  /// Renders the error object that client libraries of the completions API parse.
  pub fn json(&self) -> String {
    let object = ErrorObject {
      code: self.reason.name(),
      message: self.to_string(),
      param: None,
      ran: self.execution,
      retry_after_ms: self.retry_after,
      r#type: self.error_type(),
    };
    serde_json::to_string(&Envelope { error: object }).expect("a refusal is serializable")
  }

  fn error_type(&self) -> &'static str {
    match self.reason.status().as_u16() {
      401 => "authentication_error",
      404 => "not_found_error",
      429 => "rate_limit_error",
      400..=499 => "invalid_request_error",
      _ => "server_error",
    }
  }

  /// Builds a refusal without details or a retry time.
  pub fn new(execution: Execution, reason: Reason) -> Self {
    Self {
      detail: String::new(),
      execution,
      reason,
      retry_after: None,
    }
  }

  /// Builds a refusal of a request that no host has sent to a target or will send.
  pub fn not_run(reason: Reason) -> Self {
    Self::new(Execution::NotRun, reason)
  }

  /// Builds a refusal of a request that may have been executed.
  pub fn unknown(reason: Reason) -> Self {
    Self::new(Execution::Unknown, reason)
  }

  /// Sets the execution to `Unknown`, for when it can no longer be ruled out.
  #[must_use]
  pub fn with_unknown_execution(mut self) -> Self {
    self.execution = Execution::Unknown;
    self
  }

  /// Sets the details for a person.
  #[must_use]
  pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
    self.detail = detail.into();
    self
  }

  /// Sets the time after which to retry.
  #[must_use]
  pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
    self.retry_after = Some(retry_after);
    self
  }
}

impl fmt::Display for Refusal {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str(self.reason.message())?;
    if !self.detail.is_empty() {
      write!(f, " ({})", self.detail)?;
    }
    Ok(())
  }
}

impl std::error::Error for Refusal {}
