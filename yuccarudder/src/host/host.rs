use {
  crate::{
    clock::Clock,
    cold::Grants,
    drain::Drain,
    entries::DepartureNotices,
    gossip::Contact,
    limit::{Limiter, Memory, Permit, RetryBuckets},
    metrics::Metrics,
    once::{Bounds, Registry},
    owner::{Ownership, Timing},
    peer,
    platform::Key,
    refusal::{Reason, Refusal},
    settings,
    target::Targets,
    tree::{AccountKey, Settings, Tree},
    upstream::Pool,
    view::{Digest, OfferOutcome, View},
  },
  hyper::{HeaderMap, header::AUTHORIZATION},
  std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::sync::watch,
  tokio_util::task::TaskTracker,
};

/// Retry time suggested to a caller whose request exceeds the limit on jobs in flight.
const ACCOUNT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Limit on the bytes of all fully buffered bodies and answers of the host.
const MAX_BUFFERED_BYTES: u64 = 64 << 20;
const IDEMPOTENCY_KEY_LIMITS: Bounds = Bounds {
  answer_bytes: 16 << 20,
  keys: 65_536,
};
const PREFIX: &str = "view";
/// Retry time suggested to a caller while the host has no usable settings.
const SETTINGS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The shared state of one entry host; clones refer to the same state.
#[derive(Clone)]
pub struct Host {
  /// The source of the current time.
  pub clock: Clock,
  /// When the host last heard from the platform or from another host.
  pub contact: Contact,
  /// The progress of the graceful shutdown.
  pub drain: Drain,
  /// Tracks running calls that other hosts forwarded to this one.
  pub forwarded_calls: TaskTracker,
  /// A random number that distinguishes this process from earlier ones at the same address.
  pub incarnation: u64,
  /// Grants of this host for the cold targets that it owns.
  cold_grants: Arc<Mutex<Grants>>,
  /// Hosts that announced they are leaving.
  pub departure_notices: DepartureNotices,
  /// Limits the jobs in flight of each client account and of the host.
  pub limiter: Limiter,
  /// Limits the memory for bodies and answers that are fully buffered.
  pub memory: Memory,
  /// The metrics that the host exports.
  pub metrics: Arc<Metrics>,
  /// Idempotency keys whose home is this host.
  idempotency_keys: Arc<Mutex<Registry>>,
  /// Tracks which cluster duties this host owns.
  ownership: Arc<Mutex<Ownership>>,
  /// Pooled connections to targets.
  pub pool: Pool,
  /// Token buckets that limit retries, per client account and per target.
  pub retry_buckets: RetryBuckets,
  /// The host's own settings, read from its settings file.
  pub settings: Arc<settings::Host>,
  /// When the process started.
  pub started: Instant,
  /// The targets and their jobs in flight.
  pub targets: Targets,
  /// The published settings and host list as this host knows them.
  pub view: watch::Sender<View>,
}

impl Host {
  /// Admits a job of an account and counts it until the permit is dropped.
  ///
  /// # Errors
  ///
  /// Refuses when the account or the host has reached its limit of jobs in flight.
  pub fn admit(&self, account: &str, settings: &Settings) -> Result<Permit, Refusal> {
    let permit = self.limiter.admit(account, settings.concurrent_jobs);
    permit.map_err(|reason| Refusal::not_run(reason).with_retry_after(ACCOUNT_RETRY_AFTER))
  }

  /// Returns the account whose bearer credential a request carries.
  ///
  /// # Errors
  ///
  /// Refuses a missing or unknown credential.
  pub fn authenticate(&self, tree: &Tree, headers: &HeaderMap) -> Result<AccountKey, Refusal> {
    headers
      .get(AUTHORIZATION)
      .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
      .and_then(|credential| tree.account_by_credential(credential.trim()))
      .ok_or_else(|| Refusal::not_run(Reason::Unauthorized))
  }

  /// Confirms the revisions in another host's digest, each by the age that the digest states.
  ///
  /// `at` is a time no later than the creation of the digest.
  pub fn confirm_digest(&self, theirs: &Digest, at: Instant) {
    self.view.send_if_modified(|view| {
      view.confirm_digest(theirs, at);
      false
    });
  }

  /// Returns the identity that this host sends in handshakes.
  pub fn identity(&self) -> peer::Identity {
    peer::Identity {
      host: self.settings.callers,
      incarnation: self.incarnation,
    }
  }

  /// Creates the state of a host that has not received settings or a host list yet.
  pub fn new(settings: settings::Host, clock: Clock) -> Self {
    Self {
      pool: Pool::new(clock.clone()),
      contact: Contact::default(),
      drain: Drain::default(),
      forwarded_calls: TaskTracker::new(),
      departure_notices: DepartureNotices::default(),
      cold_grants: Arc::default(),
      ownership: Arc::default(),
      idempotency_keys: Arc::new(Mutex::new(Registry::new(IDEMPOTENCY_KEY_LIMITS))),
      started: clock.now(),
      clock,
      incarnation: rand::random(),
      limiter: Limiter::default(),
      memory: Memory::new(MAX_BUFFERED_BYTES),
      metrics: Arc::default(),
      retry_buckets: RetryBuckets::default(),
      settings: Arc::new(settings),
      targets: Targets::default(),
      view: watch::Sender::default(),
    }
  }

  /// Offers a document to the view, logs the result and returns it.
  ///
  /// `confirmed` is the last time at which the document was known to be the published one.
  pub fn offer(
    &self,
    key: Key,
    revision: u64,
    text: &str,
    confirmed: Option<Instant>,
  ) -> OfferOutcome {
    let mut offer = OfferOutcome::Unchanged;
    self.view.send_if_modified(|view| {
      offer = view.offer(key, revision, text, confirmed);
      offer == OfferOutcome::Accepted
    });
    match &offer {
      OfferOutcome::Accepted => {
        log::info!(target: PREFIX, "Accepted {} revision {revision}.", key.path());
      }
      OfferOutcome::Refused(faults) => {
        self.metrics.rejected_documents.inc();
        log::error!(target: PREFIX, "Refused {} revision {revision}.", key.path());
        for fault in faults {
          log::error!(target: PREFIX, "{fault}");
        }
      }
      OfferOutcome::Stale => {
        self.metrics.stale_documents.inc();
        log::warn!(target: PREFIX, "Ignored {} revision {revision} because a newer revision is in force.", key.path());
      }
      OfferOutcome::Unchanged => {}
    }
    offer
  }

  /// Locks the grants of this host for the cold targets that it owns.
  pub fn cold_grants(&self) -> MutexGuard<'_, Grants> {
    self.cold_grants.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Locks the ownership of cluster duties, updated from the current host list.
  pub fn ownership(&self) -> MutexGuard<'_, Ownership> {
    let mut ownership = self.ownership.lock().unwrap_or_else(PoisonError::into_inner);
    let view = self.view.borrow();
    let operator_settings = view.tree().map(|tree| tree.operator_settings()).unwrap_or_default();
    ownership.record_list(
      &view.hosts,
      &Timing::new(&operator_settings),
      self.clock.now(),
    );
    drop(view);
    ownership
  }

  /// Locks the registry of idempotency keys.
  pub fn idempotency_keys(&self) -> MutexGuard<'_, Registry> {
    self.idempotency_keys.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Returns the settings for new jobs.
  ///
  /// # Errors
  ///
  /// Refuses until the host has asked its peers for their views. Also refuses when the
  /// host list contains other hosts, but the host has heard from neither a peer nor the
  /// platform for longer than `isolation_bound`: it then cannot know which targets were taken
  /// out of service.
  pub fn serving_tree(&self) -> Result<Arc<Tree>, Refusal> {
    let tree = self.tree()?;
    if !self.contact.is_joined() {
      return Err(Refusal::not_run(Reason::NoSettings).with_retry_after(SETTINGS_RETRY_AFTER));
    }
    let bound = tree.operator_settings().isolation_bound;
    if self.contact.is_isolated(self.clock.now(), bound) && self.has_peers() {
      return Err(Refusal::not_run(Reason::CutOff).with_retry_after(SETTINGS_RETRY_AFTER));
    }
    Ok(tree)
  }

  fn has_peers(&self) -> bool {
    let view = self.view.borrow();
    let own_address = self.settings.callers;
    let hosts = view.hosts.accepted.as_ref();
    hosts.is_some_and(|hosts| hosts.document.hosts.iter().any(|host| host.callers != own_address))
  }

  /// Returns the settings in force.
  ///
  /// # Errors
  ///
  /// Refuses until a settings tree has been accepted.
  pub fn tree(&self) -> Result<Arc<Tree>, Refusal> {
    self
      .view
      .borrow()
      .tree()
      .ok_or_else(|| Refusal::not_run(Reason::NoSettings).with_retry_after(SETTINGS_RETRY_AFTER))
  }
}

impl fmt::Debug for Host {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "Host({})", self.settings.callers)
  }
}
