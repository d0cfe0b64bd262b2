/// What a target showed of itself when it was asked after a response of it had ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Sign {
  /// No process listens at its address, or another one.
  Gone,
  /// A process listens at its address; it was not asked, or has no place for the question.
  Listens,
  /// The process that sent the response answers. It lists the requests that it runs, each with the number
  /// of events that it has produced, if it reports them.
  Runs(Vec<(String, u64)>),
  /// It does not answer.
  Silent,
}

impl Sign {
  /// Returns the sign's name for logs.
  pub fn name(&self) -> &'static str {
    match self {
      Self::Gone => "gone",
      Self::Listens => "listens",
      Self::Runs(_) => "runs",
      Self::Silent => "silent",
    }
  }
}

/// Whether a response is whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
  /// Its target crashed, or has more of it.
  Cut,
  /// A later answer of its target may tell.
  Open,
  /// Its target ended it.
  Whole,
}

impl Verdict {
  /// Returns the verdict's name for logs and metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::Cut => "cut",
      Self::Open => "unproven",
      Self::Whole => "whole",
    }
  }
}

/// Judges the response to a request from a sign that its target gave after its end. `events` is the number
/// of events that were received of it.
pub fn judge(sign: &Sign, request_id: &str, events: u64) -> Verdict {
  match sign {
    Sign::Gone => Verdict::Cut,
    Sign::Silent => Verdict::Open,
    Sign::Listens => Verdict::Whole,
    Sign::Runs(runs) => match runs.iter().find(|(id, _)| id == request_id) {
      Some((_, produced)) if *produced > events => Verdict::Cut,
      Some(_) => Verdict::Open,
      None => Verdict::Whole,
    },
  }
}
