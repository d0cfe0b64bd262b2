use {
  super::{meters::Meters, shutdown::Shutdown},
  crate::{
    clock::Clock,
    dialect::{Ask, Dialect},
    limit::{Memory, RetryQuota},
    member::{self, Phase},
    metrics::Metrics,
    placement::{Health, LengthModel, Outcome, Scheduler, Throttle},
    reader::Duty,
    roster::{Key, Roster},
    routing::{Bounds, Catalog, Freshness},
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
pub(super) const HOST: &str = "host";

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
  lengths: HashMap<String, LengthModel>,
  pub(super) members: member::Table,
  /// The revision up to which the operator's documents are known.
  pub(super) operator_revision: u64,
  pub(super) pace: Throttle,
  /// Where the next catalog comes from.
  pub(super) intake: member::Intake,
  /// The catalog in force as it was published.
  pub(super) published: Bytes,
  /// The same, compressed, once another host has asked for it.
  pub(super) packed: Option<Bytes>,
  pub(super) repeats: RetryQuota,
  pub(super) roster: Roster,
  pub(super) settings: Arc<settings::Gateway>,
  /// The number of this host's runs that are to be copied from engines that leave.
  pub(super) copies: SecondaryMap<Key, u32>,
  pub(super) listed_targets: bool,
  /// When the platform last answered, by area.
  pub(super) answered: HashMap<&'static str, Instant>,
  pub(super) troubled: HashSet<&'static str>,
  pub(super) recovered: Option<Instant>,
}

/// The state that the tasks of one host share.
#[derive(Clone)]
pub struct Gateway {
  /// The clock.
  pub clock: Clock,
  pub(super) dialect: Dialect,
  pub(super) memory: Memory,
  /// Metrics of the way of a request.
  pub(super) meters: Arc<Meters>,
  /// Metrics that all surfaces share.
  pub metrics: Arc<Metrics>,
  pub(super) news: Arc<Notify>,
  pub(super) places: Scheduler,
  pub(super) pool: Pool,
  pub(super) roster_changes: watch::Sender<u64>,
  state: Arc<Mutex<State>>,
}

impl Gateway {
  pub(super) fn bounds(&self) -> Bounds {
    let state = self.lock();
    let promises = &state.settings.promises;
    Bounds {
      denial: promises.catalog_applied,
      revocation: promises.revocation.saturating_sub(AGE_MARGIN),
    }
  }

  /// Returns how long ago a caller made its first attempt: callers give all attempts
  /// one deadline, so a later one has less left than the longest that is seen.
  pub(super) fn caller_age(&self, route: &str, deadline: Option<Duration>) -> Duration {
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
  pub(super) fn learn_length(&self, route: &str, ask: &Ask, generated: u64) {
    let mut lengths = self.lengths(route, ask.max_tokens);
    lengths.observe(ask.length_hint, generated);
    let mut state = self.lock();
    if state.lengths.contains_key(route) || state.lengths.len() < MAX_ROUTES {
      state.lengths.insert(route.to_owned(), lengths);
    }
  }

  /// Returns how long the answers of a route are.
  pub(super) fn lengths(&self, route: &str, most: u64) -> LengthModel {
    let lengths = self.lock().lengths.get(route).copied();
    lengths.unwrap_or_else(|| LengthModel::new(most))
  }

  /// Announces that this host leaves and that its process ends at a time.
  pub fn leave(&self, end: Instant) {
    self.lock().leaves = Some((self.clock.now(), end));
    self.news.notify_one();
  }

  /// Returns the stop of this host, if it has begun.
  pub(super) fn stop(&self) -> Option<Shutdown> {
    let now = self.clock.now();
    let state = self.lock();
    let (begun, end) = state.leaves?;
    Some(Shutdown {
      elapsed: now.saturating_duration_since(begun),
      ready_peers: state.ready_hosts(self.clock.boot()).len(),
      hosts: state.members.count(),
      remaining: end.saturating_duration_since(now),
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
      copies: SecondaryMap::new(),
      deadlines: HashMap::new(),
      freshness: Freshness::default(),
      health: Health::default(),
      leaves: None,
      lengths: HashMap::new(),
      listed_targets: false,
      members: member::Table::new(settings.peers, incarnation, settings.seeds.clone()),
      operator_revision: 0,
      pace: Throttle::default(),
      intake: member::Intake::default(),
      published: Bytes::new(),
      packed: None,
      recovered: None,
      repeats: RetryQuota::new(clock.now()),
      roster: Roster::default(),
      settings: Arc::new(settings),
      answered: HashMap::new(),
      troubled: HashSet::new(),
    };
    Self {
      pool,
      clock,
      dialect,
      memory: Memory::new(held as u64),
      meters: Arc::default(),
      metrics: Arc::default(),
      news: Arc::default(),
      places: Scheduler::default(),
      roster_changes: watch::Sender::new(0),
      state: Arc::new(Mutex::new(state)),
    }
  }

  /// Returns the number of targets that take work.
  pub fn open_targets(&self) -> usize {
    let state = self.lock();
    state.roster.all().filter(|(key, _)| state.roster.is_accepting(*key)).count()
  }

  /// Returns the phase that the other hosts are told.
  pub fn phase(&self) -> Phase {
    let state = self.lock();
    if state.leaves.is_some() {
      return Phase::Leaving;
    }
    let revocation = state.settings.promises.revocation.saturating_sub(AGE_MARGIN);
    let fresh = state.freshness.is_within(revocation, self.clock.boot());
    if state.listed_targets && fresh {
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
      self.meters.ejections.with_label_values(&[outcome.name()]).inc();
      log::warn!(
        target: PREFIX, target:% = target.id, outcome:? = outcome, ejection_ms = ejection.as_millis() as u64;
        "A target failed too often and is passed over."
      );
    }
  }

  /// Takes in settings that were changed.
  pub fn reload(&self, settings: settings::Gateway) {
    let mut state = self.lock();
    state.members.set_seeds(settings.seeds.clone());
    state.settings = Arc::new(settings);
    log::info!(target: PREFIX, seeds = state.settings.seeds.len(); "Took in changed settings.");
  }

  pub(super) fn settings(&self) -> Arc<settings::Gateway> {
    Arc::clone(&self.lock().settings)
  }

  /// Takes a repeat of a request for a service from this host's part of the budget.
  pub(super) fn spend_repeat(&self, service: &str) -> bool {
    let mut state = self.lock();
    let bound = state.settings.promises.repeats;
    let hosts = state.members.count();
    let now = self.clock.now();
    state.repeats.try_acquire(service, &bound, hosts, now)
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
    self.troubled.is_empty() && self.listed_targets
  }

  pub(super) fn recovering(&self, now: Instant) -> bool {
    let recently = |at: Instant| now.saturating_duration_since(at) < RECOVERY;
    self.recovered.is_some_and(recently)
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
