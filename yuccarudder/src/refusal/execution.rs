use serde::Serialize;

/// What is known about whether a target executed a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
  /// The request was sent to a target and has ended without a complete response.
  Failed,
  /// No host has sent the request to a target, and none will.
  NotRun,
  /// The request may have been executed, or may still be.
  Unknown,
}

impl Execution {
  /// Parses a name from the wire; an unrecognised name gives `Unknown`.
  pub fn from_name(name: &str) -> Self {
    match name {
      "failed" => Self::Failed,
      "not_run" => Self::NotRun,
      _ => Self::Unknown,
    }
  }

  /// Returns the name used on the wire and in metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::Failed => "failed",
      Self::NotRun => "not_run",
      Self::Unknown => "unknown",
    }
  }
}
