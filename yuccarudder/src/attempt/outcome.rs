/// The outcome of an attempt to send a request to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The target ran the request and responded with an error.
  Failed,
  /// Bytes may have reached the target, but no valid response to the request arrived.
  Lost,
  /// The target stated that it has not run the request and will not run it.
  NotRun,
  /// No byte of the request was sent.
  NotSent,
}

impl Outcome {
  /// Returns the name used in logs and metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::Failed => "failed",
      Self::Lost => "lost",
      Self::NotRun => "not_run",
      Self::NotSent => "not_sent",
    }
  }

  /// Returns whether the target certainly has not run the request.
  pub fn is_not_run(self) -> bool {
    matches!(self, Self::NotRun | Self::NotSent)
  }
}
