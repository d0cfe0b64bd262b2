use {
  crate::{
    clock::Clock,
    cold::Grants,
    drain::Drain,
    entries::Leaving,
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
    tree::{AccountKey, Knobs, Tree},
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

const ACCOUNT_RETRY: Duration = Duration::from_millis(500);
const HELD_BYTES: u64 = 64 << 20;
const ONCE_BOUNDS: Bounds = Bounds {
  answer_bytes: 16 << 20,
  keys: 65_536,
};
const PREFIX: &str = "view";
const SETTINGS_RETRY: Duration = Duration::from_secs(1);

/// The state that the tasks of one entry host share.
#[derive(Clone)]
pub struct Host {
  /// The clock.
  pub clock: Clock,
  /// When the host last heard from the platform or from another host.
  pub contact: Contact,
  /// The stop of the host.
  pub drain: Drain,
  /// Calls that other hosts forwarded to this one.
  pub forwarded: TaskTracker,
  /// Names this process among all that had its address.
  pub incarnation: u64,
  ledger: Arc<Mutex<Grants>>,
  /// Hosts that said they are leaving.
  pub leaving: Leaving,
  /// Jobs in hand per client account.
  pub limits: Limiter,
  /// Room for bodies and answers that are held whole.
  pub memory: Memory,
  /// Metrics.
  pub metrics: Arc<Metrics>,
  once: Arc<Mutex<Registry>>,
  ownership: Arc<Mutex<Ownership>>,
  /// Connections to targets.
  pub pool: Pool,
  /// Budgets for sending jobs again.
  pub retries: RetryBuckets,
  /// The settings file.
  pub settings: Arc<settings::Host>,
  /// When the process started.
  pub started: Instant,
  /// The targets and the jobs in hand there.
  pub targets: Targets,
  /// What is known of the published settings and hosts.
  pub view: watch::Sender<View>,
}

impl Host {
  /// Counts a job of an account.
  ///
  /// # Errors
  ///
  /// Refuses when the account or the host has its full number of jobs in hand.
  pub fn admit(&self, account: &str, knobs: &Knobs) -> Result<Permit, Refusal> {
    let place = self.limits.admit(account, knobs.concurrent_jobs);
    place.map_err(|reason| Refusal::not_run(reason).with_retry_after(ACCOUNT_RETRY))
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
      .and_then(|credential| tree.account(credential.trim()))
      .ok_or_else(|| Refusal::not_run(Reason::Unauthorized))
  }

  /// Takes in the ages of another host's digest, which was made at `at` or later.
  pub fn confirm(&self, theirs: &Digest, at: Instant) {
    self.view.send_if_modified(|view| {
      view.confirm_digest(theirs, at);
      false
    });
  }

  /// Returns how this host introduces itself to others.
  pub fn identity(&self) -> peer::Identity {
    peer::Identity {
      host: self.settings.callers,
      incarnation: self.incarnation,
    }
  }

  /// Builds the state of a host that knows nothing yet.
  pub fn new(settings: settings::Host, clock: Clock) -> Self {
    Self {
      pool: Pool::new(clock.clone()),
      contact: Contact::default(),
      drain: Drain::default(),
      forwarded: TaskTracker::new(),
      leaving: Leaving::default(),
      ledger: Arc::default(),
      ownership: Arc::default(),
      once: Arc::new(Mutex::new(Registry::new(ONCE_BOUNDS))),
      started: clock.now(),
      clock,
      incarnation: rand::random(),
      limits: Limiter::default(),
      memory: Memory::new(HELD_BYTES),
      metrics: Arc::default(),
      retries: RetryBuckets::default(),
      settings: Arc::new(settings),
      targets: Targets::default(),
      view: watch::Sender::default(),
    }
  }

  /// Offers a document to the view and reports what became of it.
  ///
  /// `confirmed` is when it was known to be published, if that is known.
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
        log::warn!(target: PREFIX, "Ignored {} revision {revision}, older than the one in force.", key.path());
      }
      OfferOutcome::Unchanged => {}
    }
    offer
  }

  /// Locks the places that this host granted at cold targets.
  pub fn ledger(&self) -> MutexGuard<'_, Grants> {
    self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Locks the lists on which this host's ownership of duties rests.
  pub fn ownership(&self) -> MutexGuard<'_, Ownership> {
    let mut ownership = self.ownership.lock().unwrap_or_else(PoisonError::into_inner);
    let view = self.view.borrow();
    let knobs = view.tree().map(|tree| tree.operator_knobs()).unwrap_or_default();
    ownership.record_list(&view.hosts, &Timing::new(&knobs), self.clock.now());
    drop(view);
    ownership
  }

  /// Locks the registry of request keys.
  pub fn once(&self) -> MutexGuard<'_, Registry> {
    self.once.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Returns the settings under which new jobs are taken.
  ///
  /// # Errors
  ///
  /// Refuses until the host has asked its peers, and while it has heard neither
  /// from them nor from the platform for longer than `isolation_bound`: it can no
  /// longer know what is out of service.
  pub fn serving(&self) -> Result<Arc<Tree>, Refusal> {
    let tree = self.tree()?;
    if !self.contact.is_joined() {
      return Err(Refusal::not_run(Reason::NoSettings).with_retry_after(SETTINGS_RETRY));
    }
    let bound = tree.operator_knobs().isolation_bound;
    if self.contact.is_isolated(self.clock.now(), bound) && self.has_peers() {
      return Err(Refusal::not_run(Reason::CutOff).with_retry_after(SETTINGS_RETRY));
    }
    Ok(tree)
  }

  fn has_peers(&self) -> bool {
    let view = self.view.borrow();
    let this = self.settings.callers;
    let hosts = view.hosts.accepted.as_ref();
    hosts.is_some_and(|hosts| hosts.document.hosts.iter().any(|host| host.callers != this))
  }

  /// Returns the settings in force.
  ///
  /// # Errors
  ///
  /// Refuses while none were accepted.
  pub fn tree(&self) -> Result<Arc<Tree>, Refusal> {
    self
      .view
      .borrow()
      .tree()
      .ok_or_else(|| Refusal::not_run(Reason::NoSettings).with_retry_after(SETTINGS_RETRY))
  }
}

impl fmt::Debug for Host {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "Host({})", self.settings.callers)
  }
}
