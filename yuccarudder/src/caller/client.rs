use {
  super::{Failure, Generation},
  crate::{
    clock::Clock,
    entries::Answer,
    generation::{Endpoint, REATTACH_HEADER},
    http::{self, Body},
    refusal::Execution,
    upstream::{self, Error, Pool},
  },
  bytes::Bytes,
  hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE},
  },
  serde_json::{Map, Value},
  std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tokio::time,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: u64 = 64 << 20;
const MAX_TRIES: usize = 6;
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Kept {
  answer: Answer,
  until: Instant,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
  /// The body of the request.
  pub body: Bytes,
  /// The method.
  pub method: Method,
  /// What to add to the ticket, for a call that may not be repeated.
  pub idempotency_key: Option<String>,
  /// The path and query at the target, without the leading `/`.
  pub path: String,
  /// The name of the service.
  pub service: String,
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
  /// Its body.
  pub body: Bytes,
  /// Its status.
  pub status: StatusCode,
}

/// A caller with one credential.
#[derive(Clone)]
pub struct Client {
  clock: Clock,
  credential: String,
  hosts: Vec<SocketAddr>,
  kept: Arc<Mutex<Option<Kept>>>,
  pool: Pool,
}

impl Client {
  /// Calls a plain service and reads the whole answer.
  ///
  /// With an idempotency key, the same key is sent again while its end is unclear, for up
  /// to a few tries.
  ///
  /// # Errors
  ///
  /// Returns what is known about whether the call ran.
  pub async fn call(&self, call: &Call) -> Result<Reply, Failure> {
    let answer = self.entries().await?;
    if call.idempotency_key.is_some() && answer.ticket.is_none() {
      return Err(Failure::local(
        Execution::NotRun,
        "no_ticket",
        "no host gave a ticket",
      ));
    }
    let tries = answer.entries.iter().cycle().take(MAX_TRIES);
    let mut last = no_entry();
    let mut ran = Execution::NotRun;
    for entry in tries {
      let result = self.call_at(*entry, call, answer.ticket.as_deref()).await;
      let failure = match result {
        Ok(called) => return Ok(called),
        Err(failure) => failure,
      };
      // An entry that was not reached says nothing of what the others did.
      if failure.code != UNREACHABLE {
        ran = failure.ran;
      }
      let again = match failure.ran {
        // With a key, only the home may say that a job did not run.
        Execution::NotRun => failure.code == UNREACHABLE,
        Execution::Unknown => call.idempotency_key.is_some() && failure.code != "home_gone",
        Execution::Failed => false,
      };
      last = Failure { ran, ..failure };
      if !again {
        break;
      }
      time::sleep(RETRY_DELAY).await;
    }
    Err(last)
  }

  async fn call_at(
    &self,
    entry: SocketAddr,
    call: &Call,
    ticket: Option<&str>,
  ) -> Result<Reply, Failure> {
    let mut request = Request::builder()
      .method(call.method.clone())
      .uri(format!("/v1/services/{}/{}", call.service, call.path));
    if let (Some(idempotency_key), Some(ticket)) = (&call.idempotency_key, ticket) {
      request =
        request.header("idempotency-key", idempotency_key).header("yuccarudder-ticket", ticket);
    }
    let request = request
      .body(http::full(call.body.clone()))
      .map_err(|error| Failure::local(Execution::NotRun, "bad_request", error.to_string()))?;
    let response = self.send(entry, request).await?;
    let status = response.status();
    let ours = response.headers().contains_key("yuccarudder-ran");
    let body = http::collect(response.into_body(), MAX_ANSWER_BYTES)
      .await
      .ok_or_else(|| Failure::local(Execution::Unknown, LINK_LOST, "the answer broke off"))?;
    match Failure::parse(&body).filter(|_| ours) {
      Some(failure) => Err(failure),
      None => Ok(Reply { body, status }),
    }
  }

  /// Returns the addresses to use, asking for them when the kept answer is too old.
  ///
  /// # Errors
  ///
  /// Fails when no host answers.
  pub async fn entries(&self) -> Result<Answer, Failure> {
    let now = self.clock.now();
    let kept = self.lock().clone();
    if let Some(kept) = kept.as_ref().filter(|kept| now < kept.until) {
      return Ok(kept.answer.clone());
    }
    let known = kept.map(|kept| kept.answer.entries).unwrap_or_default();
    let mut last = no_entry();
    for entry in known.iter().chain(&self.hosts) {
      match self.entries_from(*entry).await {
        Ok(answer) if answer.entries.is_empty() => {}
        Ok(answer) => {
          let until = now + answer.keep;
          *self.lock() = Some(Kept {
            answer: answer.clone(),
            until,
          });
          return Ok(answer);
        }
        Err(failure) => last = failure,
      }
    }
    Err(last)
  }

  async fn entries_at(&self, entry: SocketAddr) -> Result<Answer, Failure> {
    let request = Request::get("/v1/entries").body(http::empty()).expect("the request is valid");
    let response = self.send(entry, request).await?;
    let body = http::collect(response.into_body(), MAX_ANSWER_BYTES)
      .await
      .ok_or_else(|| Failure::local(Execution::NotRun, LINK_LOST, "the answer broke off"))?;
    serde_json::from_slice(&body).map_err(|error| {
      Failure::parse(&body)
        .unwrap_or_else(|| Failure::local(Execution::NotRun, "bad_answer", error.to_string()))
    })
  }

  /// Asks one host, or the first that it names if it is leaving itself.
  async fn entries_from(&self, entry: SocketAddr) -> Result<Answer, Failure> {
    let answer = self.entries_at(entry).await?;
    match answer.entries.first() {
      Some(other) if answer.ticket.is_none() => self.entries_at(*other).await.or(Ok(answer)),
      _ => Ok(answer),
    }
  }

  /// Forgets the kept answer, so that the next use asks again.
  pub fn invalidate_entries(&self) {
    *self.lock() = None;
  }

  /// Asks for a streamed generation that survives the loss of a host.
  ///
  /// # Errors
  ///
  /// Returns what is known about whether the job ran.
  pub async fn generate(
    &self,
    shape: Endpoint,
    mut body: Map<String, Value>,
  ) -> Result<Generation, Failure> {
    body.insert("stream".into(), true.into());
    let bytes = Bytes::from(Value::Object(body).to_string());
    let path = match shape {
      Endpoint::Chat => "/v1/chat/completions",
      Endpoint::Text => "/v1/completions",
    };
    let response = self
      .send_to_entries(|| {
        Request::post(path)
          .header(CONTENT_TYPE, "application/json")
          .header(REATTACH_HEADER, "1")
          .body(http::full(bytes.clone()))
          .expect("the request is valid")
      })
      .await?;
    let response = streamed(response).await?;
    Ok(Generation::new(self.clone(), shape, response))
  }

  fn lock(&self) -> std::sync::MutexGuard<'_, Option<Kept>> {
    self.kept.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Builds a caller that knows some hosts.
  pub fn new(clock: Clock, hosts: Vec<SocketAddr>, credential: impl Into<String>) -> Self {
    Self {
      pool: Pool::new(clock.clone()),
      clock,
      credential: credential.into(),
      hosts,
      kept: Arc::default(),
    }
  }

  pub(super) async fn reattach(
    &self,
    entry: SocketAddr,
    token: &str,
    last: Option<u64>,
  ) -> Result<Response<Incoming>, Failure> {
    let mut request = Request::get(format!("/v1/generations/{token}"));
    if let Some(last) = last {
      request = request.header("last-event-id", last);
    }
    let request = request
      .body(http::empty())
      .map_err(|error| Failure::local(Execution::Unknown, "bad_token", error.to_string()))?;
    streamed(self.send(entry, request).await?).await
  }

  /// Sends a request to one entry.
  ///
  /// # Errors
  ///
  /// Tells whether the request may have reached the entry.
  pub async fn send(
    &self,
    entry: SocketAddr,
    mut request: Request<Body>,
  ) -> Result<Response<Incoming>, Failure> {
    let bearer = format!("Bearer {}", self.credential);
    let bearer = bearer
      .parse()
      .map_err(|_| Failure::local(Execution::NotRun, "bad_credential", "not a header value"))?;
    request.headers_mut().insert(AUTHORIZATION, bearer);
    let call = upstream::Call::new(entry, CONNECT_TIMEOUT, request);
    self.pool.send(call).await.map_err(|error| match error {
      Error::Denied(refusal) => Failure::local(refusal.execution, refusal.reason.name(), ""),
      Error::NotSent { cause, .. } => Failure::local(Execution::NotRun, UNREACHABLE, cause),
      Error::Sent(cause) => Failure::local(Execution::Unknown, LINK_LOST, cause),
    })
  }

  /// Sends a request to the first entry that can be reached.
  async fn send_to_entries(
    &self,
    request: impl Fn() -> Request<Body>,
  ) -> Result<Response<Incoming>, Failure> {
    let mut last = no_entry();
    for _ in 0..2 {
      for entry in self.entries().await?.entries {
        match self.send(entry, request()).await {
          Err(failure) if failure.code == UNREACHABLE => last = failure,
          result => return result,
        }
      }
      self.invalidate_entries();
    }
    Err(last)
  }
}

const LINK_LOST: &str = "link_lost";
const UNREACHABLE: &str = "unreachable";

fn no_entry() -> Failure {
  Failure::local(Execution::NotRun, "no_entry", "no host could be reached")
}

async fn streamed(response: Response<Incoming>) -> Result<Response<Incoming>, Failure> {
  if response.status() == StatusCode::OK {
    return Ok(response);
  }
  let status = response.status();
  let body = http::collect(response.into_body(), MAX_ANSWER_BYTES).await.unwrap_or_default();
  Err(Failure::parse(&body).unwrap_or_else(|| {
    Failure::local(
      Execution::Unknown,
      "bad_answer",
      format!("the host answered {status}"),
    )
  }))
}
