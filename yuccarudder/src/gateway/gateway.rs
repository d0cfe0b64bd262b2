use {
  super::meters::Meters,
  crate::{
    clock::Clock,
    dialect::{Ask, Dialect},
    limit::{Memory, Repeats},
    member::{self, Phase},
    metrics::Metrics,
    placement::{Health, Lengths, Outcome, Pace, Places},
    reader::{Area, Change, Changes, Error, Mode, Snapshot, Subject},
    relocation,
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
  tokio::{
    sync::{Notify, watch},
    time,
  },
};

/// Share of the memory of the host that bodies held whole may take.
const HELD_SHARE: f64 = 0.25;
/// Time after trouble with the platform in which a removed entry may have lapsed.
const RECOVERY: Duration = Duration::from_millis(2500);
/// Heartbeats of a target that the platform must have missed for its entry to lapse.
const MISSED_HEARTBEATS: u32 = 2;
/// Taken off a bound on the age of the catalog for the time that a decision takes.
const AGE_MARGIN: Duration = Duration::from_millis(250);
/// Hosts that follow the operator's documents: each of them proves that the catalog is
/// current, so that the age of the proof stays short when some are cut off.
const OPERATOR_READERS: usize = 8;
/// Age of the proof at which any host reads for itself.
const OLD_PROOF: Duration = Duration::from_millis(2500);
/// Longest pause between two tries of a reader to reach the platform.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// How often a host that does not read looks whether it has to.
const REST: Duration = Duration::from_millis(250);
/// Pauses between two questions of the hosts that follow the targets closely; they tell
/// the others of those that leave.
const TARGET_READERS: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(500)];
/// Pause between two looks of all others at the targets.
const GLANCE: Duration = Duration::from_millis(1200);
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
  pub(super) leaving: bool,
  /// How long answers are, by route.
  lengths: HashMap<String, Lengths>,
  pub(super) members: member::Table,
  /// The revision up to which the operator's documents are known.
  pub(super) operator_revision: u64,
  pub(super) pace: Pace,
  pub(super) published: Bytes,
  pub(super) repeats: Repeats,
  pub(super) roster: Roster,
  pub(super) settings: Arc<settings::Gateway>,
  /// The number of this host's runs that are to be copied from engines that leave.
  pub(super) copies: SecondaryMap<Key, u32>,
  listed_targets: bool,
  /// When the platform last answered, by area.
  answered: HashMap<&'static str, Instant>,
  troubled: HashSet<&'static str>,
  recovered: Option<Instant>,
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
  pub(super) places: Places,
  pub(super) pool: Pool,
  pub(super) roster_changes: watch::Sender<u64>,
  state: Arc<Mutex<State>>,
}

impl Gateway {
  /// Takes in changes that the platform told of.
  pub fn apply(&self, area: Area, changes: Changes, asked: Duration) {
    let mut leaving = Vec::new();
    for change in changes.changes {
      leaving.extend(self.apply_one(change, asked));
    }
    if area == Area::Operator {
      let mut state = self.lock();
      state.freshness.confirm(asked);
      state.operator_revision = state.operator_revision.max(changes.revision);
    }
    self.tell_leaving(&leaving, "platform");
  }

  fn apply_one(&self, change: Change, asked: Duration) -> Option<Key> {
    let now = self.clock.now();
    let revision = change.revision;
    match change.subject {
      Subject::Catalog(Some(bytes)) => {
        self.offer_catalog(bytes, Some(asked), "platform");
        None
      }
      Subject::Catalog(None) | Subject::Other => None,
      Subject::Evacuation { data_centre, out } => {
        log::info!(target: PREFIX, data_centre, out, revision; "A data centre was taken out or back.");
        self.lock().roster.evacuate(&data_centre, out);
        None
      }
      Subject::Target { id, listing } => {
        if listing.is_none() {
          log::warn!(target: PREFIX, target:% = id, revision; "The entry of a target cannot be read.");
        }
        self.lock().roster.put(&id, revision, listing, now)
      }
      Subject::TargetExpired { id } => {
        let mut state = self.lock();
        let recovering = state.recovering(now);
        log::info!(target: PREFIX, target:% = id, revision, recovering; "The entry of a target was removed.");
        state.roster.expire(&id, revision, recovering, now)
      }
    }
  }

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
    lengths.learn(ask.length_hint, generated);
    let mut state = self.lock();
    if state.lengths.contains_key(route) || state.lengths.len() < MAX_ROUTES {
      state.lengths.insert(route.to_owned(), lengths);
    }
  }

  /// Returns how long the answers of a route are.
  pub(super) fn lengths(&self, route: &str, most: u64) -> Lengths {
    let lengths = self.lock().lengths.get(route).copied();
    lengths.unwrap_or_else(|| Lengths::new(most))
  }

  /// Announces that this host leaves.
  pub fn leave(&self) {
    self.lock().leaving = true;
    self.news.notify_one();
  }

  /// Returns whether this host leaves.
  pub fn is_leaving(&self) -> bool {
    self.lock().leaving
  }

  pub(super) fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Records that the platform gave no answer.
  pub fn missed_platform(&self, area: Area, error: &Error) {
    let first = self.lock().troubled.insert(area.name());
    if first {
      log::warn!(target: PREFIX, area = area.name(), error:? = error; "The platform cannot be read.");
    }
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
      leaving: false,
      lengths: HashMap::new(),
      listed_targets: false,
      members: member::Table::new(settings.peers, incarnation, settings.seeds.clone()),
      operator_revision: 0,
      pace: Pace::default(),
      published: Bytes::new(),
      recovered: None,
      repeats: Repeats::new(clock.now()),
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
      places: Places::default(),
      roster_changes: watch::Sender::new(0),
      state: Arc::new(Mutex::new(state)),
    }
  }

  /// Takes a published catalog if it is newer than the one in force.
  pub(super) fn offer_catalog(&self, bytes: Bytes, asked: Option<Duration>, source: &str) {
    let catalog = match (self.dialect.read_catalog)(&bytes) {
      Ok(catalog) => catalog,
      Err(error) => {
        log::error!(target: PREFIX, source, error:% = error; "A catalog cannot be read; the one in force stays.");
        self.metrics.settings_refused.inc();
        return;
      }
    };
    let mut state = self.lock();
    let in_force = state.version();
    if catalog.version < in_force {
      self.metrics.stale_documents.inc();
      return;
    }
    if catalog.version > in_force {
      log::info!(target: PREFIX, version = catalog.version, in_force, source; "A catalog is in force.");
      state.catalog = Some(Arc::new(catalog));
      state.published = bytes;
      state.freshness.restart(asked);
      drop(state);
      self.news.notify_one();
    } else if let Some(asked) = asked {
      state.freshness.confirm(asked);
    }
  }

  /// Returns the number of targets that take work.
  pub fn open_targets(&self) -> usize {
    let state = self.lock();
    state.roster.all().filter(|(key, _)| state.roster.is_open(*key)).count()
  }

  /// Returns the phase that the other hosts are told.
  pub fn phase(&self) -> Phase {
    let state = self.lock();
    if state.leaving {
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

  /// Records that the platform answered.
  pub fn reached_platform(&self, area: Area) {
    let now = self.clock.now();
    let mut state = self.lock();
    let last = state.answered.insert(area.name(), now);
    let silence = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
    if silence >= state.settings.promises.heartbeat * MISSED_HEARTBEATS {
      state.recovered = Some(now);
    }
    if state.troubled.remove(area.name()) {
      drop(state);
      log::info!(target: PREFIX, area = area.name(); "The platform can be read again.");
    }
  }

  /// Returns the longest pause between two tries to reach the platform. All hosts try
  /// while it is away, so the more they are, the less often each does; those that read
  /// for the others go on as in a small fleet.
  pub fn longest_backoff(&self) -> Duration {
    let state = self.lock();
    let rank = state.members.rank(state.settings.weight, self.clock.boot());
    let hosts = state.members.count();
    if rank < OPERATOR_READERS {
      MAX_BACKOFF
    } else {
      MAX_BACKOFF.mul_f64((hosts as f64 / OPERATOR_READERS as f64).max(1.0))
    }
  }

  /// Returns how this host follows an area.
  pub fn read_mode(&self, area: Area) -> Mode {
    let now = self.clock.boot();
    let state = self.lock();
    let rank = state.members.rank(state.settings.weight, now);
    match area {
      Area::Operator if rank < OPERATOR_READERS => Mode::Follow(Duration::ZERO),
      Area::Operator if state.freshness.is_within(OLD_PROOF, now) => Mode::Rest(REST),
      Area::Operator => Mode::Follow(Duration::ZERO),
      Area::Targets => match TARGET_READERS.get(rank) {
        Some(pause) => Mode::Follow(*pause),
        None if state.listed_targets => Mode::Glance(GLANCE),
        None => Mode::Follow(GLANCE),
      },
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

  /// Takes in all documents of an area.
  pub fn replace(&self, area: Area, snapshot: Snapshot, asked: Duration) {
    match area {
      Area::Operator => self.replace_operator(snapshot, asked),
      Area::Targets => self.replace_targets(snapshot),
    }
  }

  fn replace_operator(&self, snapshot: Snapshot, asked: Duration) {
    let mut evacuated = Vec::new();
    for change in snapshot.changes {
      match change.subject {
        Subject::Catalog(Some(bytes)) => self.offer_catalog(bytes, Some(asked), "platform"),
        Subject::Evacuation {
          data_centre,
          out: true,
        } => evacuated.push(data_centre),
        _ => {}
      }
    }
    let mut state = self.lock();
    state.roster.set_evacuated(evacuated);
    state.operator_revision = state.operator_revision.max(snapshot.revision);
  }

  fn replace_targets(&self, snapshot: Snapshot) {
    let now = self.clock.now();
    let entries = snapshot.changes.into_iter().filter_map(|change| match change.subject {
      Subject::Target { id, listing } => Some((id, change.revision, listing)),
      _ => None,
    });
    let entries: Vec<_> = entries.collect();
    let mut state = self.lock();
    let recovering = state.recovering(now);
    if !state.listed_targets {
      log::info!(target: PREFIX, targets = entries.len(), revision = snapshot.revision, recovering; "Listed the targets.");
    }
    let leaving = state.roster.replace(entries, snapshot.revision, recovering, now);
    state.listed_targets = true;
    drop(state);
    self.tell_leaving(&leaving, "platform");
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
    state.repeats.spend(service, &bound, hosts, now)
  }

  /// Tells the tasks and the other hosts that targets leave.
  pub(super) fn tell_leaving(&self, keys: &[Key], source: &str) {
    // New targets, too, are a reason to look again.
    self.places.wake();
    if keys.is_empty() {
      return;
    }
    for key in keys {
      let state = self.lock();
      if let Some(target) = state.roster.get(*key) {
        log::info!(target: PREFIX, target:% = target.id, source; "A target leaves.");
        self.meters.leaves.with_label_values(&[source]).inc();
      }
    }
    for key in keys {
      self.learn_departure(*key);
    }
    self.roster_changes.send_modify(|count| *count += 1);
    if source != HOST {
      self.news.notify_one();
    }
  }

  /// Asks a target that leaves, where this host has runs, when it is gone.
  fn learn_departure(&self, key: Key) {
    let state = self.lock();
    let Some(target) = state.roster.get(key) else {
      return;
    };
    let service =
      state.catalog.as_ref().and_then(|catalog| catalog.service(&target.listing.service));
    let relocatable = service
      .and_then(|service| service.engine.as_ref())
      .is_some_and(|engine| engine.relocatable);
    if !relocatable || self.places.lock().own(target.fingerprint).runs == 0 {
      return;
    }
    let asked = (self.dialect.inspect)(target.listing.address);
    drop(state);
    let gateway = self.clone();
    tokio::spawn(async move {
      time::sleep(relocation::REPORT_LAG).await;
      let made = gateway.clock.now() - relocation::REPORT_AGE;
      let leaves_in = asked.await.and_then(|report| report.leaves_in);
      log::info!(target: PREFIX, leaves_in_ms = leaves_in.map(|time| time.as_millis() as u64); "An engine that leaves was asked when.");
      if let Some(leaves_in) = leaves_in {
        gateway.lock().roster.set_leaves_at(key, made + leaves_in);
      }
    });
  }

  pub(super) fn tick(&self) {
    let gone = self.lock().roster.tick(self.clock.now());
    if !gone.is_empty() {
      self.tell_leaving(&gone, "lapse");
    }
  }
}

impl State {
  pub(super) fn reads(&self) -> bool {
    self.troubled.is_empty() && self.listed_targets
  }

  fn recovering(&self, now: Instant) -> bool {
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
