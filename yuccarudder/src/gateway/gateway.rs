use {
  super::{finish::Stop, instruments::Instruments},
  crate::{
    clock::Clock,
    dialect::{Dialect, RequestMetadata},
    limit::{Memory, Repeats},
    member::{self, Phase},
    metrics::Metrics,
    placement::{Health, Lengths, Outcome, Pace, Places},
    reader::Duty,
    roster::{Key, Roster},
    routing::{AgeLimits, Catalog, Freshness},
    settings,
    upstream::Pool,
  },
  bytes::Bytes,
  slotmap::SecondaryMap,
  std::{
    collections::{HashMap, HashSet},
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::sync::{Notify, watch},
};

/// Share of the memory of the host that bodies held whole may take.
const HELD_SHARE: f64 = 0.25;
/// Time after trouble with the platform in which a removed entry may have lapsed.
const RECOVERY: Duration = Duration::from_millis(2500);
/// Taken off a bound on the age of the catalog for the time that a decision takes.
const AGE_MARGIN: Duration = Duration::from_millis(250);
/// Routes beyond which nothing is remembered of their requests.
const MAX_ROUTES: usize = 4096;
const PREFIX: &str = "gateway";
/// The source of news that another host told.
pub(super) const HOST_SOURCE: &str = "host";

/// What a host knows and has in hand.
pub(super) struct State {
  pub(super) catalog: Option<Arc<Catalog>>,
  /// The longest deadline of a caller, by route.
  deadlines: HashMap<String, Duration>,
  pub(super) freshness: Freshness,
  pub(super) health: Health,
  /// When the host began to leave, and when its process ends.
  pub(super) leaves: Option<(Instant, Instant)>,
  /// How long answers are, by route.
  length_estimates: HashMap<String, Lengths>,
  pub(super) members: member::Table,
  /// The revision up to which the operator's documents are known.
  pub(super) operator_revision: u64,
  pub(super) pacing: Pace,
  /// Where the next catalog comes from.
  pub(super) catalog_transfer: member::Intake,
  /// The catalog in force as it was published.
  pub(super) encoded_catalog: Bytes,
  /// The same, compressed, once another host has asked for it.
  pub(super) compressed_catalog: Option<Bytes>,
  pub(super) retry_budget: Repeats,
  pub(super) roster: Roster,
  pub(super) settings: Arc<settings::Gateway>,
  /// The number of this host's runs that are to be copied from engines that leave.
  pub(super) pending_copies: SecondaryMap<Key, u32>,
  pub(super) targets_listed: bool,
  /// When the platform last answered, by area.
  pub(super) last_reads: HashMap<&'static str, Instant>,
  pub(super) failing_areas: HashSet<&'static str>,
  pub(super) recovered_at: Option<Instant>,
}

/// The state that the tasks of one host share.
#[derive(Clone)]
pub struct Gateway {
  /// The clock.
  pub clock: Clock,
  pub(super) dialect: Dialect,
  pub(super) memory: Memory,
  /// Metrics of the way of a request.
  pub(super) instruments: Arc<Instruments>,
  /// Metrics that all surfaces share.
  pub metrics: Arc<Metrics>,
  pub(super) heartbeat_trigger: Arc<Notify>,
  pub(super) placements: Places,
  pub(super) pool: Pool,
  pub(super) roster_changes: watch::Sender<u64>,
  state: Arc<Mutex<State>>,
}

impl Gateway {
  pub(super) fn age_limits(&self) -> AgeLimits {
    let state = self.lock();
    let promises = &state.settings.promises;
    AgeLimits {
      denial: promises.catalog_applied,
      revocation: promises.revocation.saturating_sub(AGE_MARGIN),
    }
  }

  /// Returns how long ago a caller made its first attempt: callers give all attempts
  /// one deadline, so a later one has less left than the longest that is seen.
  pub(super) fn time_since_first_attempt(
    &self,
    route: &str,
    deadline: Option<Duration>,
  ) -> Duration {
    let Some(deadline) = deadline else {
      return Duration::ZERO;
    };
    let mut state = self.lock();
    if !state.deadlines.contains_key(route) && state.deadlines.len() >= MAX_ROUTES {
      return Duration::ZERO;
    }
    let longest = state.deadlines.entry(route.to_owned()).or_default();
    *longest = deadline.max(*longest);
    longest.saturating_sub(deadline)
  }

  /// Returns whether callers are to be sent to this host.
  pub fn is_ready(&self) -> bool {
    self.phase() == Phase::Ready
  }

  /// Learns from a whole answer of a route.
  pub(super) fn record_length(&self, route: &str, ask: &RequestMetadata, generated: u64) {
    let mut lengths = self.length_estimate(route, ask.max_tokens);
    lengths.learn(ask.length_hint, generated);
    let mut state = self.lock();
    if state.length_estimates.contains_key(route) || state.length_estimates.len() < MAX_ROUTES {
      state.length_estimates.insert(route.to_owned(), lengths);
    }
  }

  /// Returns how long the answers of a route are.
  pub(super) fn length_estimate(&self, route: &str, most: u64) -> Lengths {
    let lengths = self.lock().length_estimates.get(route).copied();
    lengths.unwrap_or_else(|| Lengths::new(most))
  }

  /// Announces that this host leaves and that its process ends at a time.
  pub fn leave(&self, end: Instant) {
    self.lock().leaves = Some((self.clock.now(), end));
    self.heartbeat_trigger.notify_one();
  }

  /// Returns the stop of this host, if it has begun.
  pub(super) fn shutdown(&self) -> Option<Stop> {
    let now = self.clock.now();
    let state = self.lock();
    let (begun, end) = state.leaves?;
    Some(Stop {
      elapsed: now.saturating_duration_since(begun),
      others: state.ready_hosts(self.clock.boot()).len(),
      hosts: state.members.count(),
      left: end.saturating_duration_since(now),
    })
  }

  /// Returns whether this host leaves.
  pub fn is_leaving(&self) -> bool {
    self.lock().leaves.is_some()
  }

  pub(super) fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Builds the state of a host that knows nothing yet.
  pub fn new(settings: settings::Gateway, dialect: Dialect, pool: Pool, clock: Clock) -> Self {
    let incarnation = rand::random();
    let held = settings.memory_bytes as f64 * HELD_SHARE;
    let state = State {
      catalog: None,
      pending_copies: SecondaryMap::new(),
      deadlines: HashMap::new(),
      freshness: Freshness::default(),
      health: Health::default(),
      leaves: None,
      length_estimates: HashMap::new(),
      targets_listed: false,
      members: member::Table::new(settings.peers, incarnation, settings.seeds.clone()),
      operator_revision: 0,
      pacing: Pace::default(),
      catalog_transfer: member::Intake::default(),
      encoded_catalog: Bytes::new(),
      compressed_catalog: None,
      recovered_at: None,
      retry_budget: Repeats::new(clock.now()),
      roster: Roster::default(),
      settings: Arc::new(settings),
      last_reads: HashMap::new(),
      failing_areas: HashSet::new(),
    };
    Self {
      pool,
      clock,
      dialect,
      memory: Memory::new(held as u64),
      instruments: Arc::default(),
      metrics: Arc::default(),
      heartbeat_trigger: Arc::default(),
      placements: Places::default(),
      roster_changes: watch::Sender::new(0),
      state: Arc::new(Mutex::new(state)),
    }
  }

  /// Returns the number of targets that take work.
  pub fn available_target_count(&self) -> usize {
    let state = self.lock();
    state.roster.all().filter(|(key, _)| state.roster.is_open(*key)).count()
  }

  /// Returns the phase that the other hosts are told.
  pub fn phase(&self) -> Phase {
    let state = self.lock();
    if state.leaves.is_some() {
      return Phase::Leaving;
    }
    let revocation = state.settings.promises.revocation.saturating_sub(AGE_MARGIN);
    let fresh = state.freshness.is_younger_than(revocation, self.clock.boot());
    if state.targets_listed && fresh {
      Phase::Ready
    } else {
      Phase::Starting
    }
  }

  pub(super) fn record(&self, key: Key, outcome: Outcome) {
    let now = self.clock.now();
    let mut state = self.lock();
    let ejection = state.health.record(key, outcome, now);
    if let Some(ejection) = ejection
      && let Some(target) = state.roster.get(key)
    {
      self.instruments.ejections.with_label_values(&[outcome.name()]).inc();
      log::warn!(
        target: PREFIX, target:% = target.id, outcome:? = outcome, ejection_ms = ejection.as_millis() as u64;
        "A target failed too often and is passed over."
      );
    }
  }

  /// Takes in settings that were changed.
  pub fn apply_settings(&self, settings: settings::Gateway) {
    let mut state = self.lock();
    state.members.set_seeds(settings.seeds.clone());
    state.settings = Arc::new(settings);
    log::info!(target: PREFIX, seeds = state.settings.seeds.len(); "Took in changed settings.");
  }

  pub(super) fn settings(&self) -> Arc<settings::Gateway> {
    Arc::clone(&self.lock().settings)
  }

  /// Takes a repeat of a request for a service from this host's part of the budget.
  pub(super) fn spend_retry(&self, service: &str) -> bool {
    let mut state = self.lock();
    let bound = state.settings.promises.repeats;
    let hosts = state.members.count();
    let now = self.clock.now();
    state.retry_budget.spend(service, &bound, hosts, now)
  }
}

impl State {
  /// Returns the host's duties as a reader.
  pub(super) fn duty(&self, now: Duration) -> Duty {
    Duty {
      hosts: self.members.count(),
      rank: self.members.rank(self.settings.weight, now),
    }
  }

  pub(super) fn reads(&self) -> bool {
    self.failing_areas.is_empty() && self.targets_listed
  }

  pub(super) fn recovering(&self, now: Instant) -> bool {
    let recently = |at: Instant| now.saturating_duration_since(at) < RECOVERY;
    self.recovered_at.is_some_and(recently)
  }

  /// Returns where callers reach the hosts that take them, with the hosts' weights.
  pub(super) fn ready_hosts(&self, now: Duration) -> Vec<(SocketAddr, u32)> {
    let ready = |(_, member): (SocketAddr, &member::Member)| {
      (member.phase == Phase::Ready).then_some((member.callers, member.weight))
    };
    self.members.live(now).filter_map(ready).collect()
  }

  pub(super) fn version(&self) -> u64 {
    self.catalog.as_ref().map_or(0, |catalog| catalog.version)
  }
}

impl fmt::Debug for Gateway {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "Gateway({})", self.settings().name)
  }
}
