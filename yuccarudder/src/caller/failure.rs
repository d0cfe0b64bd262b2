use {
  crate::refusal::Execution,
  serde::Deserialize,
  serde_with::{DurationMilliSeconds, serde_as},
  std::{fmt, time::Duration},
};

/// Why a request got no complete response, and whether it ran.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Failure {
  /// Name of the reason: that of a `refusal::Reason`, or one of this module.
  pub code: String,
  /// Description for a person.
  pub message: String,
  /// Whether a target executed the request.
  #[serde(deserialize_with = "ran")]
  pub ran: Execution,
  /// How long to wait before a retry.
  #[serde(default, rename = "retry_after_ms")]
  #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
  pub retry_after: Option<Duration>,
}

/// The JSON body of an error response.
#[derive(Deserialize)]
struct Envelope {
  error: Failure,
}

impl Failure {
  /// Creates a failure that the client observed itself.
  pub fn local(ran: Execution, code: &str, message: impl Into<String>) -> Self {
    Self {
      code: code.into(),
      message: message.into(),
      ran,
      retry_after: None,
    }
  }

  /// Parses the body of an error response; `None` if it is not an error of a host.
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
