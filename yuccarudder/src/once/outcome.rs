use {
  crate::refusal::{Execution, Reason, Refusal},
  bytes::Bytes,
  hyper::{HeaderMap, StatusCode},
};

/// A complete response of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
  /// The body of the response.
  pub body: Bytes,
  /// The headers of the response.
  pub headers: HeaderMap,
  /// The status of the response.
  pub status: StatusCode,
}

/// The result of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The target responded.
  Answer(Answer),
  /// The target responded, but the response is too large to store, by itself or together with
  /// the outcomes of other keys.
  NotKept,
  /// The request was refused or ended early.
  Refused(Refusal),
}

impl Outcome {
  /// Returns the size of the stored outcome in bytes, without fixed overhead.
  pub(super) fn stored_bytes(&self) -> usize {
    match self {
      Self::Answer(answer) => {
        let headers = answer.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        answer.body.len() + headers.sum::<usize>()
      }
      Self::NotKept => 0,
      Self::Refused(refusal) => refusal.detail.len(),
    }
  }

  /// Changes `NotRun` to `Unknown` if the request was dispatched.
  pub(super) fn correct_execution(self, dispatched: bool) -> Self {
    match self {
      Self::Refused(refusal) if dispatched && refusal.execution == Execution::NotRun => {
        Self::Refused(refusal.with_unknown_execution())
      }
      outcome => outcome,
    }
  }

  /// Returns the response, or the refusal for a caller who gets none.
  ///
  /// # Errors
  ///
  /// Returns the request's refusal, or `AnswerNotKept` for a response that is not stored.
  pub fn into_answer(self) -> Result<Answer, Refusal> {
    match self {
      Self::Answer(answer) => Ok(answer),
      Self::NotKept => Err(Refusal::unknown(Reason::AnswerNotKept)),
      Self::Refused(refusal) => Err(refusal),
    }
  }
}
