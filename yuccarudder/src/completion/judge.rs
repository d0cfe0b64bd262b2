use {crate::relocation::REPORT_LAG, std::time::Duration};

/// What a target showed of itself when it was asked after a response of it had ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Sign {
  /// The process that sent the response answers.
  Answers,
  /// No process listens at its address, or another one.
  Gone,
  /// A process listens at its address; it was not asked, has no place for the question, or does not say
  /// which one it is.
  Listens,
  /// The process that sent the response reports which requests it ran a moment ago, each with the number of
  /// events that it had produced for it, if that is known.
  Runs(Vec<(String, Option<u64>)>),
  /// It does not answer.
  Silent,
}

impl Sign {
  /// Returns the sign's name for logs.
  pub fn name(&self) -> &'static str {
    match self {
      Self::Answers => "answers",
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

/// A response that ended with its connection, when its target is asked about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ended<'a> {
  /// The request that the response belongs to.
  pub request_id: &'a str,
  /// Number of events that the caller has, of this run and those before it; `None` if it is no stream.
  pub events: Option<u64>,
  /// Time since the head of the response.
  pub since_head: Duration,
  /// How often the target was asked, with this time.
  pub questions: u32,
}

impl Ended<'_> {
  /// Judges the response from a sign of its target.
  ///
  /// A report is older than its question by up to `REPORT_LAG`: a run that is missing from it has ended only
  /// if it had begun by then, and one that it lists may have ended since. A target that merely listens may
  /// be one that has just taken the address, until it has had time to say so.
  pub fn judge(&self, sign: &Sign) -> Verdict {
    match sign {
      Sign::Answers => Verdict::Whole,
      Sign::Gone => Verdict::Cut,
      Sign::Silent => Verdict::Open,
      Sign::Listens if self.questions > 1 => Verdict::Whole,
      Sign::Listens => Verdict::Open,
      Sign::Runs(runs) => match runs.iter().find(|(id, _)| id == self.request_id) {
        Some((_, Some(produced))) if self.events.is_some_and(|events| *produced > events) => {
          Verdict::Cut
        }
        Some(_) => Verdict::Open,
        None if self.since_head < REPORT_LAG => Verdict::Open,
        None => Verdict::Whole,
      },
    }
  }
}
