use {crate::dialect::ResponseMetadata, hyper::StatusCode};

/// What the head of a response says about the request after which it was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
  /// The target answered the request.
  Answered,
  /// The target may have run the request and failed it.
  Failed,
  /// The response is none to the request, or must not be relayed; holds the reason.
  Invalid(&'static str),
  /// The target has not run the request and will not.
  NotRun,
}

impl Verdict {
  /// Judges the response of a target to the request with an ID.
  ///
  /// Only a response that names the request says anything about it. A faulty target may write an earlier
  /// response once more, on any connection and at any time.
  pub fn of_target(
    status: StatusCode,
    metadata: &ResponseMetadata,
    request_id: Option<&str>,
  ) -> Self {
    if metadata.request_id.as_deref() != request_id {
      return Self::Invalid("the response does not name the request");
    }
    if metadata.not_run {
      return Self::NotRun;
    }
    if status.is_success() && !metadata.signed {
      return Self::Invalid("the response has no signature");
    }
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
      return Self::Failed;
    }
    Self::Answered
  }
}
