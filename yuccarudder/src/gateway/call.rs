use {
  super::Gateway,
  crate::{
    dialect::RequestMetadata,
    limit::Held,
    routing::{AccountKey, Catalog, Route, RouteKey, Service},
  },
  hyper::{HeaderMap, Method, Uri},
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// Share of its further growth that a run has behind it when the runs of an engine
/// together need most: some have ended when others are at their longest.
const GROWTH: f64 = 0.6;
/// Lowest rank that engines know.
const LAST_URGENCY: u8 = 9;
/// Ranks of routes within one rank of accounts.
const ROUTE_RANKS: u32 = 3;

/// One request that was let in, with the catalog that let it in.
pub struct Call {
  pub account: Option<AccountKey>,
  /// Time since the caller's first attempt, as far as its deadline tells.
  pub age: Duration,
  pub arrived: Instant,
  pub ask: RequestMetadata,
  pub body: Held,
  pub catalog: Arc<Catalog>,
  pub deadline: Instant,
  pub gateway: Gateway,
  pub headers: HeaderMap,
  pub method: Method,
  pub route: RouteKey,
  pub service: String,
  pub uri: Uri,
}

impl Call {
  /// Returns the name of the account.
  pub fn account_name(&self) -> Option<&str> {
    self.account.map(|key| self.catalog.accounts[key].name.as_str())
  }

  /// Returns the tokens of memory that the run is expected to need, after it has
  /// generated some, when the runs beside it need most.
  pub fn expected_memory(&self, generated: u64) -> u64 {
    let ask = &self.ask;
    let lengths = self.gateway.length_model(&self.route().name, ask.max_tokens);
    let expected = lengths.expected(ask.length_hint, ask.max_tokens, generated);
    let growth = (expected - generated) as f64 * GROWTH;
    ask.prompt_tokens + generated + growth as u64
  }

  /// Returns the request's name in logs.
  pub fn id(&self) -> &str {
    self.ask.request_id.as_deref().unwrap_or("-")
  }

  /// Returns the time since the request arrived.
  pub fn elapsed(&self) -> Duration {
    self.gateway.clock.now().saturating_duration_since(self.arrived)
  }

  /// Returns what is left until the caller or the route gives up.
  pub fn left(&self) -> Duration {
    self.deadline.saturating_duration_since(self.gateway.clock.now())
  }

  /// Returns the route.
  pub fn route(&self) -> &Route {
    &self.catalog.routes[self.route]
  }

  /// Returns the service.
  pub fn service(&self) -> Option<&Service> {
    self.catalog.service(&self.service)
  }

  /// Returns the rank at an engine: the account's goes before the route's.
  pub fn urgency(&self) -> u8 {
    let account = self.account.and_then(|key| self.catalog.accounts[key].priority);
    let rank = account.unwrap_or(0).saturating_mul(ROUTE_RANKS);
    let rank = rank.saturating_add(self.route().priority);
    u8::try_from(rank).unwrap_or(LAST_URGENCY).min(LAST_URGENCY)
  }
}
