use {
  crate::refusal::Execution,
  serde::Deserialize,
  serde_with::{DurationMilliSeconds, serde_as},
  std::{fmt, time::Duration},
};

/// What a caller learns of a job that got no whole answer.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Failure {
  /// The reason's name.
  pub code: String,
  /// What happened, for a person.
  pub message: String,
  /// Whether the job ran.
  #[serde(deserialize_with = "ran")]
  pub ran: Execution,
  /// When to try again.
  #[serde(default, rename = "retry_after_ms")]
  #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
  pub retry_after: Option<Duration>,
}

#[derive(Deserialize)]
struct Envelope {
  error: Failure,
}

impl Failure {
  /// Builds a failure that the caller itself observed.
  pub fn local(ran: Execution, code: &str, message: impl Into<String>) -> Self {
    Self {
      code: code.into(),
      message: message.into(),
      ran,
      retry_after: None,
    }
  }

  /// Reads the error object of a response.
  pub fn parse(body: &[u8]) -> Option<Self> {
    let envelope: Envelope = serde_json::from_slice(body).ok()?;
    Some(envelope.error)
  }
}

impl fmt::Display for Failure {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "{} ({}): {}", self.code, self.ran.name(), self.message)
  }
}

impl std::error::Error for Failure {}

fn ran<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Execution, D::Error> {
  let name = String::deserialize(deserializer)?;
  Ok(Execution::from_name(&name))
}
