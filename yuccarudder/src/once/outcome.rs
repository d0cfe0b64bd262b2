use {
  crate::refusal::{Execution, Reason, Refusal},
  bytes::Bytes,
  hyper::{HeaderMap, StatusCode},
};

/// A whole answer of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
  /// Its body.
  pub body: Bytes,
  /// Its headers.
  pub headers: HeaderMap,
  /// Its status.
  pub status: StatusCode,
}

/// How a job ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// With an answer.
  Answer(Answer),
  /// With an answer that was too large to keep.
  NotKept,
  /// With a refusal.
  Refused(Refusal),
}

impl Outcome {
  pub(super) fn bytes(&self) -> usize {
    match self {
      Self::Answer(answer) => {
        let headers = answer.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        answer.body.len() + headers.sum::<usize>()
      }
      Self::NotKept => 0,
      Self::Refused(refusal) => refusal.detail.len(),
    }
  }

  /// Weakens a claim that the job did not run, once it was sent.
  pub(super) fn truthful(self, sent: bool) -> Self {
    match self {
      Self::Refused(refusal) if sent && refusal.execution == Execution::NotRun => {
        Self::Refused(refusal.with_unknown_execution())
      }
      outcome => outcome,
    }
  }

  /// Returns the answer, or what to tell a caller who gets none.
  ///
  /// # Errors
  ///
  /// Returns the refusal with which the job ended.
  pub fn into_answer(self) -> Result<Answer, Refusal> {
    match self {
      Self::Answer(answer) => Ok(answer),
      Self::NotKept => Err(Refusal::unknown(Reason::AnswerNotKept)),
      Self::Refused(refusal) => Err(refusal),
    }
  }
}
