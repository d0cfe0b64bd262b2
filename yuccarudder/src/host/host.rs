use {
  crate::{
    clock::Clock,
    drain::Drain,
    entries::Leaving,
    limit::{Limits, Memory, Place},
    metrics::Metrics,
    once::{Bounds, Registry},
    peer,
    refusal::{Reason, Refusal},
    settings,
    target::Targets,
    tree::{AccountKey, Knobs, Tree},
    upstream::Pool,
    view::View,
  },
  hyper::{HeaderMap, header::AUTHORIZATION},
  std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::sync::watch,
};

const ACCOUNT_RETRY: Duration = Duration::from_millis(500);
const HELD_BYTES: u64 = 64 << 20;
const ONCE_BOUNDS: Bounds = Bounds {
  bytes: 16 << 20,
  keys: 65_536,
};
const SETTINGS_RETRY: Duration = Duration::from_secs(1);

/// The state that the tasks of one entry host share.
#[derive(Clone)]
pub struct Host {
  /// The clock.
  pub clock: Clock,
  /// The stop of the host.
  pub drain: Drain,
  /// Names this process among all that had its address.
  pub incarnation: u64,
  /// Hosts that said they are leaving.
  pub leaving: Leaving,
  /// Jobs in hand per client account.
  pub limits: Limits,
  /// Room for bodies and answers that are held whole.
  pub memory: Memory,
  /// Metrics.
  pub metrics: Arc<Metrics>,
  once: Arc<Mutex<Registry>>,
  /// Connections to targets.
  pub pool: Pool,
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
  pub fn admit(&self, account: &str, knobs: &Knobs) -> Result<Place, Refusal> {
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
      drain: Drain::default(),
      leaving: Leaving::default(),
      once: Arc::new(Mutex::new(Registry::new(ONCE_BOUNDS))),
      started: clock.now(),
      clock,
      incarnation: rand::random(),
      limits: Limits::default(),
      memory: Memory::new(HELD_BYTES),
      metrics: Arc::default(),
      settings: Arc::new(settings),
      targets: Targets::default(),
      view: watch::Sender::default(),
    }
  }

  /// Locks the registry of request keys.
  pub fn once(&self) -> MutexGuard<'_, Registry> {
    self.once.lock().unwrap_or_else(PoisonError::into_inner)
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
