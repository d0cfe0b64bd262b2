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
    if status.is_informational() {
      return Self::Invalid("the response switches protocols");
    }
    if metadata.not_run {
      return Self::NotRun;
    }
    if status.is_success() && !metadata.signed {
      return Self::Invalid("the response has no signature");
    }
    if status.is_server_error() || means_not_run(status) {
      return Self::Failed;
    }
    Self::Answered
  }

  /// Judges the response of another host to the request with an ID, which this host passed on to it.
  ///
  /// The other host relays responses of targets that name the request and have a signature; its own
  /// refusals have neither. Its failure is final unless it `is_leaving`: it then ends with the requests
  /// that it has in hand.
  pub fn of_host(
    status: StatusCode,
    metadata: &ResponseMetadata,
    request_id: Option<&str>,
    is_leaving: bool,
  ) -> Self {
    let is_named = metadata.request_id.as_deref() == request_id;
    if metadata.request_id.is_some() && !is_named {
      return Self::Invalid("the response names another request");
    }
    if status.is_success() && !(metadata.signed && is_named) {
      return Self::Invalid("the response has no signature");
    }
    match means_not_run(status) {
      true if metadata.signed => Self::Invalid("a target's status would be taken for a promise"),
      true => Self::NotRun,
      false if is_leaving && status.is_server_error() && !metadata.signed => Self::Failed,
      false => Self::Answered,
    }
  }
}

/// Returns whether callers take a status as a guarantee that the request did not run.
pub fn means_not_run(status: StatusCode) -> bool {
  matches!(
    status,
    StatusCode::REQUEST_TIMEOUT
      | StatusCode::MISDIRECTED_REQUEST
      | StatusCode::SERVICE_UNAVAILABLE
      | StatusCode::TOO_MANY_REQUESTS
  )
}
