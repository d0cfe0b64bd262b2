use {
  crate::{
    drain::Phase,
    host::Host,
    target,
    view::{self, Replica},
    yaml::Fault,
  },
  serde::Serialize,
  serde_with::{DisplayFromStr, DurationMilliSeconds, serde_as},
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// The state of one published document at a host.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct DocumentStatus {
  /// Time since the newest received revision was last confirmed to be the published one.
  #[serde(rename = "age_ms")]
  #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
  pub age: Option<Duration>,
  /// Validation errors of the newest document, if it was refused.
  #[serde_as(as = "Vec<DisplayFromStr>")]
  pub faults: Vec<Fault>,
  /// The revision in force.
  pub revision: Option<u64>,
  /// The newest revision received, in force or refused.
  pub seen: u64,
}

impl DocumentStatus {
  fn new<T>(replica: &Replica<T>, now: Instant) -> Self {
    Self {
      age: replica.confirmed_at.map(|confirmed| now.saturating_duration_since(confirmed)),
      faults: replica.faults.clone(),
      revision: replica.accepted.as_ref().map(|accepted| accepted.revision),
      seen: replica.newest_seen,
    }
  }
}

/// The status report of a running host for its operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
  /// The phase of the graceful shutdown.
  pub drain: Phase,
  /// The address at which the host accepts callers.
  pub host: SocketAddr,
  /// The state of the host list document.
  pub host_list: DocumentStatus,
  /// The entries of the published host list.
  pub hosts: Vec<view::Entry>,
  /// Number of jobs in flight.
  pub jobs: u64,
  /// Number of idempotency keys in the registry.
  pub keys: usize,
  /// Hosts that announced they are leaving.
  pub leaving: Vec<SocketAddr>,
  /// The state of the settings tree document.
  pub settings: DocumentStatus,
  /// The targets and their jobs in flight.
  pub targets: Vec<target::Row>,
}

impl Status {
  /// Collects the status of a host.
  pub fn new(host: &Host) -> Self {
    let now = host.clock.now();
    let view = host.view.borrow().clone();
    let hosts = view.hosts.accepted.as_ref();
    Self {
      drain: host.drain.phase(now),
      host: host.settings.callers,
      host_list: DocumentStatus::new(&view.hosts, now),
      hosts: hosts.map(|accepted| accepted.document.hosts.clone()).unwrap_or_default(),
      jobs: host.limiter.total(),
      keys: host.idempotency_keys().len(),
      leaving: host.departure_notices.current(now),
      settings: DocumentStatus::new(&view.settings, now),
      targets: host.targets.lock().rows(),
    }
  }
}
