/// What became of a request that was sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The target answered with a failure of its own after it ran the request.
  Failed,
  /// Bytes may have reached the target, which gave no answer that belongs to the request.
  Lost,
  /// The target says that it has not run the request and will not.
  NotRun,
  /// No byte left.
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

  /// Returns whether the target is known not to have run the request.
  pub fn is_not_run(self) -> bool {
    matches!(self, Self::NotRun | Self::NotSent)
  }
}
