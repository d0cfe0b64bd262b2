use {
  super::{Gateway, buffered},
  crate::{
    dialect::RequestMetadata,
    limit::BufferedBody,
    origin, prompt,
    quarantine::Feature,
    routing::{AccountKey, Catalog, Kind, Route, RouteKey, Service},
  },
  hyper::{HeaderMap, Method, Uri},
  std::{
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, Instant},
  },
  tokio::sync::OwnedSemaphorePermit,
};

/// Bytes of the events of a stream for each of its tokens, more than targets send.
const MAX_BYTES_PER_TOKEN: u64 = 1 << 10;
/// Number of tokens of a stream whose request states none.
const DEFAULT_MAX_TOKENS: u64 = 1 << 16;
/// Largest number of tokens of a stream that bounds the bytes of its events.
const MAX_TOKENS: u64 = 1 << 20;
/// Share of its remaining growth that a run has made when the runs of an engine together need
/// the most memory; they do not peak at the same time, as some end before others reach their
/// full length.
const PEAK_GROWTH_SHARE: f64 = 0.6;
/// Number of the lowest priority that engines accept; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;
/// Number of route priorities within one account priority.
const ROUTE_PRIORITIES: u32 = 3;

/// An admitted request and the catalog that admitted it.
pub struct Call {
  pub account_key: Option<AccountKey>,
  /// Time since the caller's first attempt, estimated from its deadline.
  pub since_first_attempt: Duration,
  pub arrived: Instant,
  /// Software version that began the stream, at which alone it may be continued; `None` before the
  /// first event.
  pub version: Option<Arc<str>>,
  /// The request's own metadata, read from its headers.
  pub metadata: RequestMetadata,
  pub body: BufferedBody,
  pub catalog: Arc<Catalog>,
  /// Whether another host counts the request for the retry budget.
  pub counted_elsewhere: AtomicBool,
  /// What the request has in common with its repeats and with other requests.
  pub features: Vec<Feature>,
  pub deadline: Instant,
  /// The place that the request takes among those that other hosts pass on to this one.
  pub _forwarding_permit: Option<OwnedSemaphorePermit>,
  pub gateway: Gateway,
  /// Whether a target may run the request or have run it, as far as is known.
  pub may_have_run: Arc<AtomicBool>,
  pub headers: HeaderMap,
  pub method: Method,
  pub route_key: RouteKey,
  pub service_name: String,
  pub uri: Uri,
}

impl Call {
  /// Returns the most bytes that the body of a response to the request has.
  pub fn max_response_bytes(&self) -> u64 {
    let Kind::Stream { .. } = self.route().kind else {
      return buffered::MAX_RESPONSE_BYTES;
    };
    let tokens = match self.metadata.max_tokens {
      0 => DEFAULT_MAX_TOKENS,
      tokens => tokens.min(MAX_TOKENS),
    };
    // A short stream may end with a failure, whose body is read like that of any other request.
    buffered::MAX_RESPONSE_BYTES + tokens * MAX_BYTES_PER_TOKEN
  }

  /// Returns the name of the client account, if the request has one.
  pub fn account_name(&self) -> Option<&str> {
    self.account_key.map(|key| self.catalog.accounts[key].name.as_str())
  }

  /// Returns the KV cache tokens that a run which has generated `generated_tokens` is expected to
  /// occupy when the memory use of its engine peaks.
  pub fn expected_memory_tokens(&self, generated_tokens: u64) -> u64 {
    let metadata = &self.metadata;
    let length_model = self.gateway.length_model(&self.route().name, metadata.max_tokens);
    let expected_tokens =
      length_model.predict(metadata.length_hint, metadata.max_tokens, generated_tokens);
    let growth = (expected_tokens - generated_tokens) as f64 * PEAK_GROWTH_SHARE;
    let held_tokens = metadata.prompt_tokens.saturating_add(generated_tokens);
    held_tokens.saturating_add(growth as u64)
  }

  /// Returns the request id for logs, or `-` without one.
  pub fn id(&self) -> &str {
    self.metadata.request_id.as_deref().unwrap_or("-")
  }

  /// Returns whether the caller has events of an earlier response, which this one is to continue.
  pub fn continues_stream(&self) -> bool {
    self.metadata.last_event_id.is_some_and(|id| id > 0)
  }

  /// Returns the key of the stream under which its caller may continue it; `None` if the caller did
  /// not name the stream that it continues.
  pub fn stream_key(&self) -> Option<u64> {
    let first_request = if self.continues_stream() {
      self.metadata.resumes.as_deref()
    } else {
      self.metadata.request_id.as_deref()
    };
    Some(origin::stream_key(self.account_name(), first_request?))
  }

  /// Returns the prompt of the request.
  pub fn prompt(&self) -> prompt::Prompt<'_> {
    prompt::Prompt {
      parts: &self.metadata.prompt_parts,
      part_tokens: &self.metadata.prompt_part_tokens,
      tokens: self.metadata.prompt_tokens,
    }
  }

  /// Returns the time since the request arrived.
  pub fn elapsed(&self) -> Duration {
    self.gateway.clock.now().saturating_duration_since(self.arrived)
  }

  /// Returns the time left until the timeout of the caller or the route, whichever is earlier.
  pub fn time_left(&self) -> Duration {
    self.deadline.saturating_duration_since(self.gateway.clock.now())
  }

  /// Returns whether a target with a software version may run the request.
  pub fn accepts_version(&self, version: &str) -> bool {
    self.version.as_deref().is_none_or(|required| required == version)
  }

  /// Returns the route that matched the request.
  pub fn route(&self) -> &Route {
    &self.catalog.routes[self.route_key]
  }

  /// Returns the service, or `None` if the catalog has none of that name.
  pub fn service(&self) -> Option<&Service> {
    self.catalog.service(&self.service_name)
  }

  /// Returns the priority at an engine, where 0 is the highest: the account's priority takes
  /// precedence over the route's.
  pub fn engine_priority(&self) -> u8 {
    let account_priority = self.account_key.and_then(|key| self.catalog.accounts[key].priority);
    let priority = account_priority.unwrap_or(0).saturating_mul(ROUTE_PRIORITIES);
    let priority = priority.saturating_add(self.route().priority);
    u8::try_from(priority).unwrap_or(LOWEST_PRIORITY).min(LOWEST_PRIORITY)
  }
}
