use {
  super::{Execution, Reason},
  serde::{Deserialize, Serialize},
  serde_with::{DurationMilliSeconds, serde_as},
  std::{fmt, time::Duration},
};

/// A refusal or early end, as one value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
  /// What happened, for a person; empty for the reason's own message.
  pub detail: String,
  /// What is known about whether the job ran.
  pub execution: Execution,
  /// Why.
  pub reason: Reason,
  /// When to try again, if that can help.
  pub retry_after: Option<Duration>,
}

#[serde_as]
#[derive(Serialize)]
struct Body<'a> {
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
  /// A job that ran and ended without its whole answer.
  pub fn failed(reason: Reason) -> Self {
    Self::new(Execution::Failed, reason)
  }

  /// Renders the error object that client libraries of the completions API parse.
  pub fn json(&self) -> String {
    let body = Body {
      code: self.reason.name(),
      message: self.to_string(),
      param: None,
      ran: self.execution,
      retry_after_ms: self.retry_after,
      r#type: self.kind(),
    };
    serde_json::to_string(&Envelope { error: body }).expect("a refusal is serializable")
  }

  fn kind(&self) -> &'static str {
    match self.reason.status().as_u16() {
      401 => "authentication_error",
      404 => "not_found_error",
      429 => "rate_limit_error",
      400..=499 => "invalid_request_error",
      _ => "server_error",
    }
  }

  /// Builds a refusal.
  pub fn new(execution: Execution, reason: Reason) -> Self {
    Self {
      detail: String::new(),
      execution,
      reason,
      retry_after: None,
    }
  }

  /// A job that no target has been or ever will be sent.
  pub fn not_run(reason: Reason) -> Self {
    Self::new(Execution::NotRun, reason)
  }

  /// A job that may have run.
  pub fn unknown(reason: Reason) -> Self {
    Self::new(Execution::Unknown, reason)
  }

  /// Claims no more than that the job may have run.
  #[must_use]
  pub fn with_unknown_execution(mut self) -> Self {
    self.execution = Execution::Unknown;
    self
  }

  /// Adds what happened.
  #[must_use]
  pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
    self.detail = detail.into();
    self
  }

  /// Adds when to try again.
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
