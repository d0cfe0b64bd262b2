use {
  crate::{
    drain::Phase,
    host::Host,
    target,
    view::{self, Slot},
    yaml::Fault,
  },
  serde::Serialize,
  serde_with::{DisplayFromStr, DurationMilliSeconds, serde_as},
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// One published document as a host has it.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct DocumentStatus {
  /// Time since its revision was last known to be the published one.
  #[serde(rename = "age_ms")]
  #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
  pub age: Option<Duration>,
  /// Faults of the newest document, if it was refused.
  #[serde_as(as = "Vec<DisplayFromStr>")]
  pub faults: Vec<Fault>,
  /// Revision in force.
  pub revision: Option<u64>,
  /// Newest revision seen.
  pub seen: u64,
}

impl DocumentStatus {
  fn new<T>(slot: &Slot<T>, now: Instant) -> Self {
    Self {
      age: slot.confirmed.map(|confirmed| now.saturating_duration_since(confirmed)),
      faults: slot.refused.clone(),
      revision: slot.accepted.as_ref().map(|accepted| accepted.revision),
      seen: slot.seen,
    }
  }
}

/// What a running host tells its operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
  /// How far the host is with its stop.
  pub drain: Phase,
  /// Its address for callers.
  pub host: SocketAddr,
  /// The list of hosts as a document.
  pub host_list: DocumentStatus,
  /// The hosts as published.
  pub hosts: Vec<view::Entry>,
  /// Jobs in hand.
  pub jobs: u64,
  /// Request keys remembered.
  pub keys: usize,
  /// Hosts that said they are leaving.
  pub leaving: Vec<SocketAddr>,
  /// The settings tree as a document.
  pub settings: DocumentStatus,
  /// The targets.
  pub targets: Vec<target::Row>,
}

impl Status {
  /// Reports on a host.
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
      keys: host.request_keys().len(),
      leaving: host.departure_notices.current(now),
      settings: DocumentStatus::new(&view.settings, now),
      targets: host.targets.lock().rows(),
    }
  }
}
