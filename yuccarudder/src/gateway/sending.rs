use {
  super::{call::Call, placed::Spot},
  crate::{
    attempt::Outcome,
    dialect::{ForwardingMetadata, Resume},
    http::{self, Body},
    placement, plain,
    upstream::{self, Error},
  },
  hyper::{
    Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_ENCODING, HOST},
  },
  std::time::Duration,
  tokio::time,
};

/// Longest wait for a connection; a lost packet costs a second, which another try saves.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const PREFIX: &str = "sending";

/// Why a try gave no answer to go on with.
pub struct Failed {
  /// What became of the request.
  pub outcome: Outcome,
  /// The target's own answer, if it failed the request.
  pub response: Option<Box<Response<Incoming>>>,
}

impl From<Outcome> for Failed {
  fn from(outcome: Outcome) -> Self {
    Self {
      outcome,
      response: None,
    }
  }
}

impl Call {
  /// Sends the request to a target once and waits up to `patience` for the head of the answer.
  ///
  /// Each try has a connection of its own: no answer of another request can be on it, and
  /// no target can be closing it.
  ///
  /// # Errors
  ///
  /// Tells what became of the request.
  pub async fn send(
    &self,
    spot: &Spot,
    resume: Option<&Resume>,
    patience: Duration,
  ) -> Result<Response<Incoming>, Failed> {
    let sent = self.gateway.pool.send(
      upstream::Call::new(
        spot.target.listing.address,
        CONNECT_TIMEOUT,
        self.request(spot, resume),
      )
      .alone(),
    );
    let result = match time::timeout(patience, sent).await {
      Ok(Ok(response)) => self.examine(response),
      Ok(Err(Error::Denied(_) | Error::NotSent { .. })) => Err(Outcome::NotSent.into()),
      Ok(Err(Error::Sent(_))) | Err(_) => Err(Outcome::Lost.into()),
    };
    self.note(spot, resume, &result);
    result
  }

  fn examine(&self, response: Response<Incoming>) -> Result<Response<Incoming>, Failed> {
    let status = response.status();
    let verdict = (self.gateway.dialect.read_response)(status, response.headers());
    if verdict.not_run {
      return Err(Outcome::NotRun.into());
    }
    let foreign = verdict.request_id.as_deref() != self.ask.request_id.as_deref();
    let unsigned = status.is_success() && !verdict.signed;
    if foreign || unsigned || response.headers().contains_key(CONTENT_ENCODING) {
      return Err(Outcome::Lost.into());
    }
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
      return Err(Failed {
        outcome: Outcome::Failed,
        response: Some(Box::new(response)),
      });
    }
    Ok(response)
  }

  fn note(
    &self,
    spot: &Spot,
    resume: Option<&Resume>,
    result: &Result<Response<Incoming>, Failed>,
  ) {
    let (outcome, name) = match result {
      Ok(_) => (placement::Outcome::Answered, "answered"),
      Err(failed) => {
        let outcome = match failed.outcome {
          Outcome::NotSent => placement::Outcome::Unreachable,
          Outcome::NotRun => placement::Outcome::Answered,
          Outcome::Failed | Outcome::Lost => placement::Outcome::Failed,
        };
        (outcome, failed.outcome.name())
      }
    };
    self.gateway.record_outcome(spot.key, outcome);
    log::info!(
      target: PREFIX, id = self.id(), target:% = spot.target.id, outcome = name,
      elapsed_ms = self.elapsed().as_millis() as u64, resumed = resume.is_some();
      "Sent a request to a target."
    );
  }

  fn request(&self, spot: &Spot, resume: Option<&Resume>) -> Request<Body> {
    let body = if self.body.bytes.is_empty() {
      http::empty()
    } else {
      http::full(self.body.bytes.clone())
    };
    let mut request = Request::new(body);
    *request.method_mut() = self.method.clone();
    *request.uri_mut() =
      self.uri.path_and_query().map_or_else(Uri::default, |path| Uri::from(path.clone()));
    let headers = request.headers_mut();
    *headers = self.headers.clone();
    plain::strip_request(headers);
    if let Some(host) = self.headers.get(HOST) {
      headers.insert(HOST, host.clone());
    }
    let metadata = ForwardingMetadata {
      account: self.account_name(),
      timeout: self.left(),
      resume,
      target: &spot.target.id,
      priority: self.urgency(),
    };
    (self.gateway.dialect.write_request)(headers, &metadata);
    request
  }
}
