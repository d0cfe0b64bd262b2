use {
  super::{assignment::Assignment, breaks::Cause, call::Call, verdict::Verdict},
  crate::{
    attempt::Outcome,
    dialect::{ForwardingMetadata, Resume},
    http::{self, Body},
    links, placement, plain, span,
    upstream::{self, Error},
  },
  hyper::{
    Request, Response, Uri,
    body::Incoming,
    header::{CONTENT_ENCODING, HOST},
  },
  std::{
    pin::pin,
    sync::atomic::Ordering,
    time::{Duration, Instant},
  },
  tokio::time,
};

/// Longest wait for a connection. A lost packet delays a connection by a second; this is shorter,
/// so that another attempt is made before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const PREFIX: &str = "sending";

/// Time without a response after which a target counts as silent, unless its route's latency objective
/// is longer.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// No response arrived in time.
struct Unanswered;

/// The reason why an attempt returned no response that can be relayed.
pub struct Failure {
  /// The outcome of the attempt.
  pub outcome: Outcome,
  /// The target's response, if the target itself failed the request.
  pub response: Option<Box<Response<Incoming>>>,
}

impl From<Outcome> for Failure {
  fn from(outcome: Outcome) -> Self {
    Self {
      outcome,
      response: None,
    }
  }
}

impl Call {
  /// Sends the request to a target once and waits up to `timeout` for the response head.
  ///
  /// Each attempt opens a new connection, so that it can't receive the response to another
  /// request and the target can't be closing it.
  ///
  /// # Errors
  ///
  /// Fails when the request is not sent, times out, is rejected or fails at the target, or when
  /// the response is invalid.
  pub async fn send(
    &self,
    assignment: &Assignment,
    resume: Option<&Resume>,
    timeout: Duration,
  ) -> Result<Response<Incoming>, Failure> {
    let mut call = upstream::Call::new(
      assignment.target.listing.address,
      CONNECT_TIMEOUT,
      self.build_request(assignment, resume),
    )
    .with_max_body_bytes(self.max_response_bytes())
    .on_dedicated_connection();
    let assigned_at = assignment.assigned_at;
    if assignment.target.is_cold(assigned_at) {
      let (gateway, key) = (self.gateway.clone(), assignment.key);
      call.send_check = Box::new(move || {
        gateway.lock().throttle.record_sent(key, assigned_at, gateway.clock.now());
        Ok(())
      });
    }
    let response = self.gateway.pool.send(call);
    let began_at = self.gateway.clock.now();
    self.may_have_run.store(true, Ordering::Relaxed);
    let mut error = None;
    let result = match self.await_response(assignment, began_at, timeout, response).await {
      Ok(Ok(response)) => {
        self.gateway.record_reached(&self.service_name, began_at);
        let (result, fault) = self.validate(assignment, response);
        error = fault.map(str::to_owned);
        result
      }
      Ok(Err(Error::Denied(_))) => Err(Outcome::NotSent.into()),
      Ok(Err(Error::NotSent { cause, .. })) => {
        self.record_unreached(assignment, links::Failure::Disconnected, began_at);
        error = Some(cause);
        Err(Outcome::NotSent.into())
      }
      Ok(Err(Error::Sent(cause))) => {
        self.record_unreached(assignment, links::Failure::Disconnected, began_at);
        error = Some(cause);
        self
          .report_break(
            assignment,
            None,
            self.gateway.clock.now(),
            Cause::ConnectionLost,
          )
          .await;
        Err(Outcome::Lost.into())
      }
      Err(Unanswered) => {
        self.record_unreached(assignment, links::Failure::Silent, began_at);
        error = Some("no response in time".to_owned());
        self.report_break(assignment, None, self.gateway.clock.now(), Cause::Silent).await;
        Err(Outcome::Lost.into())
      }
    };
    self.record_outcome(assignment, resume, &result, error.as_deref());
    result
  }

  /// Waits for the head of a response, but no longer than useful: a request that may be repeated is
  /// given up when it has been silent and this host has lost its links to the targets.
  async fn await_response(
    &self,
    assignment: &Assignment,
    began_at: Instant,
    timeout: Duration,
    response: impl Future<Output = Result<Response<Incoming>, Error>>,
  ) -> Result<Result<Response<Incoming>, Error>, Unanswered> {
    let gateway = &self.gateway;
    let mut link_losses = gateway.link_losses.subscribe();
    let mut response = pin!(response);
    let deadline = span::after(began_at, timeout);
    let max_silence = MIN_SILENCE.max(self.route().latency_objective);
    let silent_from = || gateway.silent_from(&self.service_name, began_at, max_silence);
    let mut check_at = Some(silent_from());
    let mut is_silent = false;
    loop {
      let wake_at = check_at.map_or(deadline, |at| at.min(deadline));
      tokio::select! {
        response = &mut response => return Ok(response),
        () = time::sleep_until(wake_at.into()) => {
          let now = gateway.clock.now();
          if now >= deadline {
            return Err(Unanswered);
          }
          check_at = match silent_from() {
            // Other attempts have been answered meanwhile.
            later if later > now => Some(later),
            _ => {
              is_silent = true;
              self.record_unreached(assignment, links::Failure::Silent, began_at);
              Some(span::after(began_at, max_silence)).filter(|at| *at > now)
            }
          };
        }
        Ok(()) = link_losses.changed() => {}
      }
      if is_silent && self.is_repeatable() && gateway.has_lost_links(&self.service_name) {
        return Err(Unanswered);
      }
    }
  }

  /// Records that an attempt at a target, begun at `began_at`, failed or has been silent for some time.
  pub(super) fn record_unreached(
    &self,
    assignment: &Assignment,
    failure: links::Failure,
    began_at: Instant,
  ) {
    self.gateway.record_unreached(&self.service_name, assignment.key, failure, began_at);
  }

  /// Returns the response if it can be relayed, and what is wrong with an invalid one.
  fn validate(
    &self,
    assignment: &Assignment,
    response: Response<Incoming>,
  ) -> (Result<Response<Incoming>, Failure>, Option<&'static str>) {
    let status = response.status();
    let metadata = (self.gateway.dialect.read_response)(status, response.headers());
    let verdict = if http::has_nested_head(&response) {
      Verdict::Invalid("another response begins inside the head")
    } else {
      Verdict::of_target(status, &metadata, self.metadata.request_id.as_deref())
    };
    if !matches!(verdict, Verdict::Invalid(_)) {
      self.gateway.record_statements(assignment.key, &metadata);
      self.gateway.record_room(&self.service_name, assignment, !metadata.not_run);
    }
    match verdict {
      Verdict::NotRun => (Err(Outcome::NotRun.into()), None),
      Verdict::Invalid(fault) => (Err(Outcome::Lost.into()), Some(fault)),
      _ if response.headers().contains_key(CONTENT_ENCODING) => {
        (Err(Outcome::Lost.into()), Some("the body has an encoding"))
      }
      Verdict::Failed => {
        let failure = Failure {
          outcome: Outcome::Failed,
          response: Some(Box::new(response)),
        };
        (Err(failure), None)
      }
      Verdict::Answered => (Ok(response), None),
    }
  }

  fn record_outcome(
    &self,
    assignment: &Assignment,
    resume: Option<&Resume>,
    result: &Result<Response<Incoming>, Failure>,
    error: Option<&str>,
  ) {
    let (outcome, outcome_name) = match result {
      Ok(_) => (placement::Outcome::Answered, "answered"),
      Err(failure) => {
        let outcome = match failure.outcome {
          Outcome::NotSent => placement::Outcome::Unreachable,
          Outcome::NotRun => placement::Outcome::Answered,
          Outcome::Failed | Outcome::Lost => placement::Outcome::Failed,
        };
        (outcome, failure.outcome.name())
      }
    };
    self.gateway.record_outcome(assignment.key, outcome);
    log::info!(
      target: PREFIX, id = self.id(), target:% = assignment.target.id, outcome = outcome_name,
      elapsed_ms = self.elapsed().as_millis() as u64, resumed = resume.is_some(), error;
      "Sent a request to a target."
    );
  }

  fn build_request(&self, assignment: &Assignment, resume: Option<&Resume>) -> Request<Body> {
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
      timeout: self.time_left(),
      resume,
      target: &assignment.target.id,
      priority: self.engine_priority(),
    };
    (self.gateway.dialect.write_request)(headers, &metadata);
    request
  }
}
