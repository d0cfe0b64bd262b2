use {
  super::{
    directory,
    forwarding::Helpers,
    ingress,
    instruments::Instruments,
    shutdown::{ResponseTime, Shutdown},
  },
  crate::{
    clock::Clock,
    completion::Sign,
    contention,
    dialect::{Dialect, RequestMetadata, ResponseMetadata},
    limit::{Memory, RetryQuota},
    links,
    member::{self, Phase},
    metrics::Metrics,
    origin, pace,
    placement::{
      Brittleness, Health, LengthModel, Outcome, Pauses, RateLimits, Scheduler, Throttle,
    },
    prompt,
    quarantine::Ledger,
    reader::{Era, Relation, Role, Version},
    refusal::{Reason, Refusal},
    roster::{Key, Roster},
    routing::{AgeLimits, Catalog, Freshness, Route},
    settings, share,
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
  tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot, watch},
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Share of the memory of the host that buffered request bodies may take.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// Share of the memory of the host that responses of targets may take which have not arrived completely.
const RESPONSE_MEMORY_SHARE: f64 = 0.125;
/// Time after an outage of the platform during which the entry of a live target may be removed
/// because its heartbeats were lost.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2500);
/// Subtracted from the limit on the catalog age, since acting on a decision takes time.
const AGE_MARGIN: Duration = Duration::from_millis(250);
/// How long an evacuation stays in force after the store was restored without it.
pub(super) const EVACUATION_HOLD: Duration = Duration::from_secs(5);
/// Maximum number of requests that other hosts pass on to this one, per thousandth of a core.
const FORWARDED_PER_MILLICORE: usize = 1;
/// Maximum number of routes for which request statistics are kept.
const MAX_ROUTES: usize = 4096;
const PREFIX: &str = "gateway";
/// The source label of catalogs and departures learned from another host.
pub(super) const HOST_SOURCE: &str = "host";

/// The mutable state of a host.
pub(super) struct State {
  /// The active catalog; `None` until the first one is received.
  pub(super) catalog: Option<Arc<Catalog>>,
  /// The waiting requests of all hosts.
  pub(super) contention: contention::Table,
  /// The longest timeout that a caller has sent, by route.
  longest_timeouts: HashMap<String, Duration>,
  /// When the active catalog was last confirmed to be current.
  pub(super) freshness: Freshness,
  /// Ejections of targets after failures.
  pub(super) health: Health,
  /// Hosts to which requests are passed on while links are lost.
  pub(super) helpers: Helpers,
  /// Services whose targets bear few rejections.
  pub(super) brittleness: Brittleness,
  /// The links of this host to the targets.
  pub(super) links: links::Table,
  /// When the host began to shut down, and when its process ends.
  pub(super) shutdown: Option<(Instant, Instant)>,
  /// Models that predict the number of generated tokens, by route.
  length_models: HashMap<String, LengthModel>,
  /// Crashes of targets and the prompt parts that cause them.
  pub(super) ledger: Ledger,
  /// What the store shows of the time before this process started, until both areas were listed; `None` if
  /// there was no such time.
  pub(super) history: Option<origin::History>,
  /// Which software versions began streams.
  pub(super) origins: origin::Table,
  /// The other hosts.
  pub(super) members: member::Table,
  /// The newest era of the platform's store.
  pub(super) era: Era,
  /// The state of the store up to which the operator's documents have been read.
  pub(super) operator_version: Version,
  /// The pace of the targets.
  pub(super) paces: pace::Table,
  /// Targets that asked this host to pause.
  pub(super) pauses: Pauses,
  /// Limits that targets named for all hosts together.
  pub(super) rate_limits: RateLimits,
  /// Recent requests to targets, which limit the request rate of cold targets.
  pub(super) throttle: Throttle,
  /// The transfer of a newer catalog from another host.
  pub(super) catalog_transfer: member::CatalogSource,
  /// Prompt parts that the targets hold.
  pub(super) prompts: prompt::Table,
  /// The active catalog as it was published.
  pub(super) encoded_catalog: Bytes,
  /// The compressed form of `encoded_catalog`, built when another host first requests it.
  pub(super) compressed_catalog: Option<Bytes>,
  /// This host's part of the retry budgets.
  pub(super) retry_budget: RetryQuota,
  /// The known targets.
  pub(super) roster: Roster,
  pub(super) settings: Arc<settings::Gateway>,
  /// Client accounts whose refusals are counted by themselves.
  pub(super) metered_accounts: HashSet<String>,
  /// What each client account uses.
  pub(super) shares: share::Table,
  /// Number of copies that this host has planned, by the engine that leaves service.
  pub(super) planned_copies: SecondaryMap<Key, u32>,
  /// Tasks that wait for a sign that a target runs; there is an entry while the target is being asked.
  pub(super) sign_waiters: HashMap<Key, Vec<oneshot::Sender<Sign>>>,
  /// Since when the known targets differ from those of all hosts that read them for the others.
  pub(super) targets_differ_since: Option<Instant>,
  /// When the known targets were last confirmed as those in service.
  pub(super) targets_freshness: Freshness,
  /// When the targets were last listed; `None` if they have not been.
  pub(super) targets_listed_at: Option<Instant>,
  /// When the platform last responded, by area.
  pub(super) last_reads: HashMap<&'static str, Instant>,
  /// Areas whose last read failed.
  pub(super) failing_areas: HashSet<&'static str>,
  /// When the platform last responded again after an outage.
  pub(super) recovered_at: Option<Instant>,
}

/// The state that the tasks of one host share.
#[derive(Clone)]
pub struct Gateway {
  /// The clock of the host.
  pub clock: Clock,
  /// Cancelled shortly before the process ends: requests that have no answer get their last one.
  pub(super) closing: CancellationToken,
  pub(super) dialect: Dialect,
  /// The requests of callers that have arrived and do not have their whole answer.
  pub(super) in_hand: TaskTracker,
  /// The memory budget for buffered request bodies.
  pub(super) memory: Memory,
  /// The memory budget for responses of targets that have not arrived completely.
  pub(super) response_memory: Memory,
  /// Metrics of the gateway.
  pub(super) instruments: Arc<Instruments>,
  /// Metrics that are common to all modes of the program.
  pub metrics: Arc<Metrics>,
  /// Wakes the heartbeat task when other hosts should learn of a change at once.
  pub(super) heartbeat_trigger: Arc<Notify>,
  /// The load of the targets and the queues of waiting requests.
  pub(super) scheduler: Scheduler,
  /// Wakes the task that probes targets when links are newly in doubt.
  pub(super) links_doubted: Arc<Notify>,
  /// Counts losses of links; tasks watch it for changes.
  pub(super) link_losses: watch::Sender<u64>,
  /// Places for requests that other hosts pass on to this one.
  pub(super) forwarded_requests: Arc<Semaphore>,
  pub(super) pool: Pool,
  /// Counts announcements of targets that leave service; tasks watch it for changes.
  pub(super) departures: watch::Sender<u64>,
  state: Arc<Mutex<State>>,
}

impl Gateway {
  /// Returns the limits on the catalog age for admission.
  pub(super) fn age_limits(&self) -> AgeLimits {
    let state = self.lock();
    let guarantees = &state.settings.guarantees;
    AgeLimits {
      denial: guarantees.catalog_delay,
      revocation: guarantees.revocation_delay.saturating_sub(AGE_MARGIN),
    }
  }

  /// Estimates the time since a caller's first attempt at a request.
  ///
  /// Callers set one deadline for all attempts, so the timeout of a later attempt is shorter
  /// than the longest one seen on the route; the difference is the estimate.
  pub(super) fn time_since_first_attempt(
    &self,
    route: &str,
    timeout: Option<Duration>,
  ) -> Duration {
    let Some(timeout) = timeout else {
      return Duration::ZERO;
    };
    let mut state = self.lock();
    if !state.longest_timeouts.contains_key(route) && state.longest_timeouts.len() >= MAX_ROUTES {
      return Duration::ZERO;
    }
    let longest = state.longest_timeouts.entry(route.to_owned()).or_default();
    *longest = timeout.max(*longest);
    longest.saturating_sub(timeout)
  }

  /// Reserves a place for a request that another host passes on.
  ///
  /// # Errors
  ///
  /// Refuses when there are too many, so that enough capacity is left for this host's own callers.
  pub(super) fn reserve_forwarded(&self) -> Result<OwnedSemaphorePermit, Refusal> {
    let permit = Arc::clone(&self.forwarded_requests).try_acquire_owned();
    permit.map_err(|_| Refusal::not_run(Reason::HostBusy))
  }

  /// Returns whether this host is ready for requests of callers.
  pub fn is_ready(&self) -> bool {
    self.phase() == Phase::Ready
  }

  /// Updates the length model of a route with the number of tokens of a complete response.
  pub(super) fn record_length(&self, route: &str, metadata: &RequestMetadata, generated: u64) {
    let mut model = self.length_model(route, metadata.max_tokens);
    model.observe(metadata.length_hint, generated);
    let mut state = self.lock();
    if state.length_models.contains_key(route) || state.length_models.len() < MAX_ROUTES {
      state.length_models.insert(route.to_owned(), model);
    }
  }

  /// Returns the length model of a route, or a new one for responses of up to `max_tokens`.
  pub(super) fn length_model(&self, route: &str, max_tokens: u64) -> LengthModel {
    let model = self.lock().length_models.get(route).copied();
    model.unwrap_or_else(|| LengthModel::new(max_tokens))
  }

  /// Returns how long the response to a request may take that has `time_left` until its deadline.
  pub(super) fn response_time(
    &self,
    metadata: &RequestMetadata,
    route: &Route,
    time_left: Duration,
  ) -> ResponseTime {
    let length_model = self.length_model(&route.name, metadata.max_tokens);
    let tokens = length_model.predict(metadata.length_hint, metadata.max_tokens, 0);
    ResponseTime::new(route, tokens, time_left)
  }

  /// Begins the shutdown of this host, whose process ends at `end`, and notifies the other hosts.
  pub fn begin_shutdown(&self, end: Instant) {
    self.lock().shutdown = Some((self.clock.now(), end));
    self.heartbeat_trigger.notify_one();
  }

  /// Returns the progress of the shutdown of this host, if it has begun.
  pub(super) fn shutdown_progress(&self) -> Option<Shutdown> {
    let now = self.clock.now();
    let state = self.lock();
    let (started_at, end) = state.shutdown?;
    Some(Shutdown {
      elapsed: now.saturating_duration_since(started_at),
      ready_peers: state.ready_hosts(self.clock.since_boot()).len(),
      hosts: state.members.fleet_size(),
      remaining: end.saturating_duration_since(now),
    })
  }

  /// Returns whether this host is shutting down.
  pub fn is_shutting_down(&self) -> bool {
    self.lock().shutdown.is_some()
  }

  pub(super) fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Builds the state of a host that has read nothing from the platform yet.
  pub fn new(settings: settings::Gateway, dialect: Dialect, pool: Pool, clock: Clock) -> Self {
    let incarnation = rand::random();
    let forwarded_requests = settings.weight as usize * FORWARDED_PER_MILLICORE;
    let mut origins = origin::Table::default();
    let now = clock.since_boot();
    if settings.first_start {
      // No stream began before this process started.
      let before = origin::Coverage::new(origin::STREAM_RETENTION, now, now);
      origins.begin(before);
      origins.extend_coverage(before);
    } else {
      origins.begin(origin::Coverage::new(Duration::ZERO, now, now));
    }
    let body_bytes = settings.memory_bytes as f64 * BODY_MEMORY_SHARE;
    let response_bytes = settings.memory_bytes as f64 * RESPONSE_MEMORY_SHARE;
    let state = State {
      catalog: None,
      contention: contention::Table::new(ingress::hash(&settings.peers.to_string())),
      planned_copies: SecondaryMap::new(),
      sign_waiters: HashMap::new(),
      longest_timeouts: HashMap::new(),
      freshness: Freshness::default(),
      health: Health::default(),
      helpers: Helpers::default(),
      brittleness: Brittleness::default(),
      links: links::Table::default(),
      shutdown: None,
      ledger: Ledger::new(clock.now()),
      history: (!settings.first_start).then(origin::History::default),
      origins,
      length_models: HashMap::new(),
      targets_differ_since: None,
      targets_freshness: Freshness::default(),
      targets_listed_at: None,
      members: member::Table::new(settings.peers, incarnation, settings.seeds.clone()),
      era: Era::default(),
      operator_version: Version::default(),
      paces: pace::Table::default(),
      pauses: Pauses::default(),
      rate_limits: RateLimits::default(),
      throttle: Throttle::default(),
      catalog_transfer: member::CatalogSource::default(),
      prompts: prompt::Table::default(),
      encoded_catalog: Bytes::new(),
      compressed_catalog: None,
      recovered_at: None,
      retry_budget: RetryQuota::new(clock.now()),
      roster: Roster::default(),
      settings: Arc::new(settings),
      metered_accounts: HashSet::new(),
      shares: share::Table::default(),
      last_reads: HashMap::new(),
      failing_areas: HashSet::new(),
    };
    Self {
      pool,
      clock,
      closing: CancellationToken::new(),
      dialect,
      in_hand: TaskTracker::new(),
      memory: Memory::new(body_bytes as u64),
      response_memory: Memory::new(response_bytes as u64),
      instruments: Arc::default(),
      metrics: Arc::default(),
      heartbeat_trigger: Arc::default(),
      scheduler: Scheduler::default(),
      links_doubted: Arc::default(),
      link_losses: watch::Sender::new(0),
      forwarded_requests: Arc::new(Semaphore::new(forwarded_requests)),
      departures: watch::Sender::new(0),
      state: Arc::new(Mutex::new(state)),
    }
  }

  /// Returns the number of targets that accept requests.
  pub fn available_target_count(&self) -> usize {
    let state = self.lock();
    state.roster.all().filter(|(key, _)| state.roster.is_accepting(*key)).count()
  }

  /// Returns the lifecycle phase that is announced to the other hosts.
  pub fn phase(&self) -> Phase {
    let state = self.lock();
    if state.shutdown.is_some() {
      return Phase::Leaving;
    }
    let revocation = state.settings.guarantees.revocation_delay.saturating_sub(AGE_MARGIN);
    let is_fresh = state.freshness.is_younger_than(revocation, self.clock.since_boot());
    if state.targets_listed_at.is_some() && is_fresh {
      Phase::Ready
    } else {
      Phase::Starting
    }
  }

  /// Records the outcome of a request at a target, which may eject the target.
  pub(super) fn record_outcome(&self, key: Key, outcome: Outcome) {
    let now = self.clock.now();
    let mut state = self.lock();
    let ejection = state.health.record(key, outcome, now);
    if let Some(ejection) = ejection
      && let Some(target) = state.roster.get(key)
    {
      self.instruments.ejections.with_label_values(&[outcome.name()]).inc();
      log::warn!(
        target: PREFIX, target:% = target.id, outcome:? = outcome, ejection_ms = ejection.as_millis() as u64;
        "Ejected a target after too many failures."
      );
    }
  }

  /// Applies what a response of a target states about the target itself.
  pub(super) fn record_statements(&self, key: Key, metadata: &ResponseMetadata) {
    let now = self.clock.now();
    if let Some(pause) = metadata.retry_after {
      let mut state = self.lock();
      state.pauses.record(key, pause, now);
      if let Some(target) = state.roster.get(key) {
        log::info!(target: PREFIX, target:% = target.id, pause_ms = pause.as_millis() as u64; "A target asked for a pause.");
      }
    }
    self.record_limit(key, metadata.request_limit);
    self.record_tolerance(key, metadata.rejection_tolerance);
    if metadata.leaving && self.lock().roster.record_own_statement(key, now) {
      self.announce_departures(&[key], "response");
    }
  }

  /// Returns whether a run may be sent to a target at which capacity is reserved for it: the target accepts
  /// requests and has not asked this host for a pause.
  pub(super) fn accepts_runs(&self, key: Key) -> bool {
    self.lock().roster.is_accepting(key) && !self.is_paused(key)
  }

  /// Returns whether a target has asked this host for a pause that has not ended.
  pub(super) fn is_paused(&self, key: Key) -> bool {
    self.lock().pauses.end(key, self.clock.now()).is_some()
  }

  /// Applies changed settings.
  pub fn apply_settings(&self, settings: settings::Gateway) {
    let mut state = self.lock();
    state.members.set_seeds(settings.seeds.clone());
    state.settings = Arc::new(settings);
    log::info!(target: PREFIX, seeds = state.settings.seeds.len(); "Applied changed settings.");
  }

  pub(super) fn settings(&self) -> Arc<settings::Gateway> {
    Arc::clone(&self.lock().settings)
  }

  /// Takes one retry from this host's part of the retry budget of a service if one is left;
  /// returns whether it was.
  pub(super) fn try_acquire_retry(&self, service: &str) -> bool {
    let mut state = self.lock();
    let budget = state.settings.guarantees.retry_budget;
    let hosts = state.members.fleet_size();
    let now = self.clock.now();
    state.retry_budget.try_acquire(service, &budget, hosts, now)
  }
}

impl State {
  /// Records the era of a response of the platform or of another host's heartbeat; returns
  /// whether what it says still holds.
  ///
  /// After a restore of the store, evacuations stay in force until the operator has written them
  /// again, and targets until they have registered again.
  pub(super) fn observe_era(&mut self, era: u64, clock: &Clock) -> bool {
    let relation = self.era.observe(era, clock.since_boot());
    if relation == Relation::Restored {
      let now = clock.now();
      log::warn!(target: PREFIX, era; "The platform's store was restored from an older copy.");
      let evacuated: Vec<String> = self.roster.evacuated().map(str::to_owned).collect();
      self.roster.hold_evacuations(evacuated, now + EVACUATION_HOLD);
      self.recovered_at = Some(now);
    }
    relation != Relation::Outdated
  }

  /// Records the versions of the targets that are or recently were in service, of one service or all;
  /// returns whether there was room for them.
  pub(super) fn observe_versions(&mut self, service: Option<&str>, now: Instant) -> bool {
    let mut has_room = true;
    for (_, target) in self.roster.all() {
      let listing = &target.listing;
      if service.is_none_or(|service| service == listing.service) {
        let last_seen = target.leaving_since.unwrap_or(now);
        has_room &= self.origins.record_version(
          ingress::hash(&listing.service),
          &listing.version,
          last_seen,
          now,
        );
      }
    }
    has_room
  }

  /// Records up to when the other hosts have told this one all versions that they know.
  pub(super) fn confirm_versions(&mut self, now: Duration) {
    let members = &self.members;
    self.origins.confirm(|since| members.stated_until(since, now));
  }

  /// Returns this host's part in reading the platform.
  pub(super) fn role(&self, now: Duration) -> Role {
    Role {
      hosts: self.members.fleet_size(),
      order: self.members.order(self.settings.weight, now),
      rank: self.members.rank(self.settings.weight, now),
    }
  }

  /// Returns whether this host reads the platform without failures.
  pub(super) fn reads_platform(&self) -> bool {
    self.failing_areas.is_empty() && self.targets_listed_at.is_some()
  }

  /// Returns whether a target is neither ejected nor paused, and takes another request within its
  /// limit.
  pub(super) fn is_usable(&self, key: Key, now: Instant, since_boot: Duration) -> bool {
    !self.health.is_ejected(key, now) && self.paused_until(key, now, since_boot).is_none()
  }

  /// Returns whether an outage of the platform ended recently.
  pub(super) fn is_recovering(&self, now: Instant) -> bool {
    let recently = |at: Instant| now.saturating_duration_since(at) < RECOVERY_PERIOD;
    self.recovered_at.is_some_and(recently)
  }

  /// Returns the other hosts that are ready.
  pub(super) fn ready_hosts(&self, now: Duration) -> Vec<directory::Host> {
    let ready = |(_, member): (SocketAddr, &member::Member)| {
      (member.phase == Phase::Ready).then_some(directory::Host {
        callers: member.callers,
        reaches_targets: member.unreachable_services.is_empty(),
        weight: member.weight,
      })
    };
    self.members.live(now).filter_map(ready).collect()
  }

  /// Returns the version of the active catalog; 0 when there is none.
  pub(super) fn catalog_version(&self) -> u64 {
    self.catalog.as_ref().map_or(0, |catalog| catalog.version)
  }
}

impl fmt::Debug for Gateway {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "Gateway({})", self.settings().name)
  }
}
