use {
  super::{Failure, Generation},
  crate::{
    clock::Clock,
    entries::EntryList,
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
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// How often one call is sent at most.
const MAX_SENDS: usize = 6;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The last answer of `GET /v1/entries`, with the time until which it is used.
#[derive(Clone, Debug)]
struct CachedAnswer {
  answer: EntryList,
  expires_at: Instant,
}

/// A request to a plain HTTP service.
#[derive(Clone, Debug)]
pub struct Call {
  /// The request body.
  pub body: Bytes,
  /// The HTTP method.
  pub method: Method,
  /// Idempotency key, unique under the client's ticket; with it, hosts run the call at most
  /// once however often it is sent.
  pub idempotency_key: Option<String>,
  /// Path and query at the target, without the leading `/`.
  pub path: String,
  /// The name of the service.
  pub service: String,
}

/// The complete response to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
  /// The response body.
  pub body: Bytes,
  /// The HTTP status.
  pub status: StatusCode,
}

/// A client of the entry hosts that authenticates with one credential.
#[derive(Clone)]
pub struct Client {
  clock: Clock,
  credential: String,
  hosts: Vec<SocketAddr>,
  cache: Arc<Mutex<Option<CachedAnswer>>>,
  pool: Pool,
}

impl Client {
  /// Calls a plain service and reads the complete response.
  ///
  /// Retries a few times: at the next entry host if one cannot be reached, and, only under an
  /// idempotency key, also when it is unclear whether the call ran.
  ///
  /// # Errors
  ///
  /// Returns the last failure, which states whether the call ran.
  pub async fn call(&self, call: &Call) -> Result<Reply, Failure> {
    let answer = self.entries().await?;
    if call.idempotency_key.is_some() && answer.ticket.is_none() {
      return Err(Failure::local(
        Execution::NotRun,
        "no_ticket",
        "no host gave a ticket",
      ));
    }
    let mut entries = answer.entries;
    let mut last_failure = no_entry();
    let mut ran = Execution::NotRun;
    for attempt in 0..MAX_SENDS {
      // The ticket stays, as it identifies the key; the hosts may have changed since.
      if attempt > 0
        && let Ok(current) = self.entries().await
      {
        entries = current.entries;
      }
      let Some(entry) = entries.get(attempt % entries.len().max(1)) else {
        break;
      };
      let result = self.send_call(*entry, call, answer.ticket.as_deref()).await;
      let failure = match result {
        Ok(reply) => return Ok(reply),
        Err(failure) => failure,
      };
      // An unreachable host says nothing about whether an earlier send of the call ran.
      if failure.code == UNREACHABLE {
        self.invalidate_entries();
      } else {
        ran = failure.ran;
      }
      let retry = match failure.ran {
        // Under an idempotency key, only the key's home host can state that the call did
        // not run.
        Execution::NotRun => failure.code == UNREACHABLE,
        Execution::Unknown => call.idempotency_key.is_some() && failure.code != "home_gone",
        Execution::Failed => false,
      };
      last_failure = Failure { ran, ..failure };
      if !retry {
        break;
      }
      time::sleep(RETRY_DELAY).await;
    }
    Err(last_failure)
  }

  /// Sends a call to one host, once.
  async fn send_call(
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
    let is_from_host = response.headers().contains_key("yuccarudder-ran");
    let body = http::collect(response.into_body(), MAX_RESPONSE_BYTES)
      .await
      .ok_or_else(|| Failure::local(Execution::Unknown, LINK_LOST, "the answer broke off"))?;
    match Failure::parse(&body).filter(|_| is_from_host) {
      Some(failure) => Err(failure),
      None => Ok(Reply { body, status }),
    }
  }

  /// Returns the addresses of entry hosts to use, fetching them when the cached answer has
  /// expired.
  ///
  /// # Errors
  ///
  /// Fails if no host returns a usable list.
  pub async fn entries(&self) -> Result<EntryList, Failure> {
    let now = self.clock.now();
    let cached = self.lock().clone();
    if let Some(cached) = cached.as_ref().filter(|cached| now < cached.expires_at) {
      return Ok(cached.answer.clone());
    }
    let known_entries = cached.map(|cached| cached.answer.entries).unwrap_or_default();
    let mut last_failure = no_entry();
    for entry in known_entries.iter().chain(&self.hosts) {
      match self.fetch_entries(*entry).await {
        Ok(answer) if answer.entries.is_empty() => {}
        Ok(answer) => {
          let expires_at = now + answer.keep;
          *self.lock() = Some(CachedAnswer {
            answer: answer.clone(),
            expires_at,
          });
          return Ok(answer);
        }
        Err(failure) => last_failure = failure,
      }
    }
    Err(last_failure)
  }

  /// Requests the entry hosts from one host.
  async fn request_entries(&self, entry: SocketAddr) -> Result<EntryList, Failure> {
    let request = Request::get("/v1/entries").body(http::empty()).expect("the request is valid");
    let response = self.send(entry, request).await?;
    let body = http::collect(response.into_body(), MAX_RESPONSE_BYTES)
      .await
      .ok_or_else(|| Failure::local(Execution::NotRun, LINK_LOST, "the answer broke off"))?;
    serde_json::from_slice(&body).map_err(|error| {
      Failure::parse(&body)
        .unwrap_or_else(|| Failure::local(Execution::NotRun, "bad_answer", error.to_string()))
    })
  }

  /// Fetches the entry hosts from one host; if that host is leaving, which shows in an
  /// answer without a ticket, from the first host that it names.
  async fn fetch_entries(&self, entry: SocketAddr) -> Result<EntryList, Failure> {
    let answer = self.request_entries(entry).await?;
    match answer.entries.first() {
      Some(other) if answer.ticket.is_none() => self.request_entries(*other).await.or(Ok(answer)),
      _ => Ok(answer),
    }
  }

  /// Discards the cached answer, so that the next use fetches a new one.
  pub fn invalidate_entries(&self) {
    *self.lock() = None;
  }

  /// Starts a streamed generation, which is resumed through another host if its host is lost.
  ///
  /// # Errors
  ///
  /// Returns a failure that states whether the generation ran.
  pub async fn generate(
    &self,
    endpoint: Endpoint,
    mut body: Map<String, Value>,
  ) -> Result<Generation, Failure> {
    body.insert("stream".into(), true.into());
    let bytes = Bytes::from(Value::Object(body).to_string());
    let path = match endpoint {
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
    let response = require_ok(response).await?;
    Ok(Generation::new(self.clone(), endpoint, response))
  }

  fn lock(&self) -> std::sync::MutexGuard<'_, Option<CachedAnswer>> {
    self.cache.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Creates a client; `hosts` are the addresses from which it fetches the entry hosts to use.
  pub fn new(clock: Clock, hosts: Vec<SocketAddr>, credential: impl Into<String>) -> Self {
    Self {
      pool: Pool::new(clock.clone()),
      clock,
      credential: credential.into(),
      hosts,
      cache: Arc::default(),
    }
  }

  /// Resumes a generation at one host after the event with the index `last_index`.
  pub(super) async fn reattach(
    &self,
    entry: SocketAddr,
    token: &str,
    last_index: Option<u64>,
  ) -> Result<Response<Incoming>, Failure> {
    let mut request = Request::get(format!("/v1/generations/{token}"));
    if let Some(last_index) = last_index {
      request = request.header("last-event-id", last_index);
    }
    let request = request
      .body(http::empty())
      .map_err(|error| Failure::local(Execution::Unknown, "bad_token", error.to_string()))?;
    require_ok(self.send(entry, request).await?).await
  }

  /// Sends a request to one entry host.
  ///
  /// # Errors
  ///
  /// Returns a failure that states whether the request may have reached the host.
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

  /// Sends a request to the first entry host that can be reached, fetching the list of hosts
  /// anew once if none can.
  async fn send_to_entries(
    &self,
    request: impl Fn() -> Request<Body>,
  ) -> Result<Response<Incoming>, Failure> {
    let mut last_failure = no_entry();
    for _ in 0..2 {
      for entry in self.entries().await?.entries {
        match self.send(entry, request()).await {
          Err(failure) if failure.code == UNREACHABLE => last_failure = failure,
          result => return result,
        }
      }
      self.invalidate_entries();
    }
    Err(last_failure)
  }
}

/// Failure code: the connection broke after the request was sent.
const LINK_LOST: &str = "link_lost";
/// Failure code: no connection could be opened, so the request was not sent.
const UNREACHABLE: &str = "unreachable";

/// Returns the failure of a request for which no entry host is known or reachable.
fn no_entry() -> Failure {
  Failure::local(Execution::NotRun, "no_entry", "no host could be reached")
}

/// Returns a response with status 200 unchanged, and any other as the failure in its body.
async fn require_ok(response: Response<Incoming>) -> Result<Response<Incoming>, Failure> {
  if response.status() == StatusCode::OK {
    return Ok(response);
  }
  let status = response.status();
  let body = http::collect(response.into_body(), MAX_RESPONSE_BYTES).await.unwrap_or_default();
  Err(Failure::parse(&body).unwrap_or_else(|| {
    Failure::local(
      Execution::Unknown,
      "bad_answer",
      format!("the host answered {status}"),
    )
  }))
}
