use serde::Serialize;

/// What is known about whether a job ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
  /// It was sent to a target and is known to have ended without its whole answer.
  Failed,
  /// No target has been or ever will be sent it by any host.
  NotRun,
  /// It may have run or may still run.
  Unknown,
}

impl Execution {
  /// Returns the value with a wire name; any other name claims nothing.
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
