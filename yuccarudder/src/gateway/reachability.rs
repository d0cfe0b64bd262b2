//! Watches the links of this host to the targets, and probes targets while the links are in doubt.

use {
  super::{Gateway, ingress},
  crate::{
    links::{Failure, Probe, Status},
    roster::Key,
    routing::Service,
  },
  futures::{StreamExt, stream::FuturesUnordered},
  rand::seq::IteratorRandom,
  std::{
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
  },
  tokio::time,
};

/// Interval at which due probes are looked for while links are in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const PREFIX: &str = "links";
/// Time for a target that wants no requests to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes targets whenever links are in doubt, until the task is dropped.
pub async fn run(gateway: Gateway) {
  loop {
    if gateway.lock().links.has_doubts() {
      time::sleep(CHECK_INTERVAL).await;
    } else {
      gateway.links_doubted.notified().await;
    }
    let probes = gateway.lock().links.due_probes(gateway.clock.now());
    for probe in probes {
      tokio::spawn(gateway.clone().probe(probe));
    }
  }
}

impl Gateway {
  /// Returns when an attempt at a service, begun at `began_at`, that has no answer counts as silent.
  pub(super) fn silent_from(
    &self,
    service: &str,
    began_at: Instant,
    max_silence: Duration,
  ) -> Instant {
    self.lock().links.silent_from(service, began_at, max_silence)
  }

  /// Returns whether the links to the targets of a service are in doubt.
  pub(super) fn has_doubtful_links(&self, service: &str) -> bool {
    self.lock().links.status(service).is_doubtful()
  }

  /// Returns whether the links to the targets of a service are lost.
  pub(super) fn has_lost_links(&self, service: &str) -> bool {
    self.lock().links.status(service) == Status::Lost
  }

  /// Records that a target of a service answered an attempt that began at `began_at`.
  pub(super) fn record_reached(&self, service: &str, began_at: Instant) {
    let now = self.clock.now();
    let mut state = self.lock();
    let Some(status) = state.links.record_answer(service, began_at, now) else {
      return;
    };
    // If the links were only suspected, the targets that failed are likely to be down.
    if status == Status::Lost {
      let keys: Vec<Key> = state.roster.accepting(service).map(|(key, _)| key).collect();
      for key in keys {
        state.health.forget_unreachable(key);
      }
    }
    drop(state);
    log::info!(target: PREFIX, service; "Targets of a service answer this host again.");
    self.scheduler.notify_waiters();
    self.heartbeat_trigger.notify_one();
  }

  /// Records that an attempt at a target, begun at `began_at`, failed or has been silent for some time.
  pub(super) fn record_unreached(
    &self,
    service: &str,
    key: Key,
    failure: Failure,
    began_at: Instant,
  ) {
    let now = self.clock.now();
    let mut state = self.lock();
    let targets = state.roster.accepting(service).count();
    if state.links.record_failure(service, key, failure, began_at, targets, now) {
      let silent_ms = now.saturating_duration_since(began_at).as_millis() as u64;
      drop(state);
      log::warn!(target: PREFIX, service, failure:? = failure, targets, silent_ms; "Targets of a service do not answer this host; probing others.");
      self.links_doubted.notify_one();
    }
  }

  /// Probes some targets of a service, until one answers.
  async fn probe(self, probe: Probe) {
    let began_at = self.clock.now();
    let service = probe.service.as_str();
    let candidates = self.choose_probed(&probe);
    if candidates.is_empty() {
      self.lock().links.forget(service);
      return;
    }
    let mut asked = candidates.len();
    let mut answers: FuturesUnordered<_> = candidates
      .into_iter()
      .map(|(key, address)| self.is_answering(&probe, key, address))
      .collect();
    let mut patience = pin!(time::sleep(probe.patience));
    loop {
      tokio::select! {
        answer = answers.next() => match answer {
          Some(Some(true)) => return self.record_reached(service, began_at),
          Some(Some(false)) => {}
          Some(None) => asked -= 1,
          None => break,
        },
        () = &mut patience, if !patience.is_elapsed() => {
          if asked > 0 {
            self.record_failed_probes(service, began_at);
          }
        }
      }
    }
    if asked > 0 {
      self.record_failed_probes(service, began_at);
    }
  }

  /// Chooses targets to probe, those last that failed.
  fn choose_probed(&self, probe: &Probe) -> Vec<(Key, SocketAddr)> {
    let state = self.lock();
    let accepting = state.roster.accepting(&probe.service);
    let addresses = accepting.map(|(key, target)| (key, target.listing.address));
    let (failed, others): (Vec<_>, Vec<_>) =
      addresses.partition(|(key, _)| probe.failed.contains(key));
    let rng = &mut rand::rng();
    let mut chosen = others.into_iter().sample(rng, probe.targets);
    chosen.extend(failed.into_iter().sample(rng, probe.targets - chosen.len()));
    chosen
  }

  fn record_failed_probes(&self, service: &str, began_at: Instant) {
    if self.lock().links.record_failed_probes(service, began_at) {
      self.instruments.lost_links.inc();
      log::warn!(target: PREFIX, service; "This host has lost its links to the targets of a service.");
      self.heartbeat_trigger.notify_one();
      self.link_losses.send_modify(|count| *count += 1);
    }
  }

  /// Returns whether a target answers this host. One that wants no requests is only connected to, which
  /// tells nothing (`None`) if connected targets are silent.
  async fn is_answering(&self, probe: &Probe, key: Key, address: SocketAddr) -> Option<bool> {
    let catalog = self.lock().catalog.clone();
    let service = catalog.as_ref().and_then(|catalog| catalog.service(&probe.service));
    if self.is_paused(key) || !self.try_take_calls(key, 1.0) {
      if probe.failure == Failure::Silent {
        return None;
      }
      return Some(self.pool.is_listening(address, CONNECT_TIMEOUT).await == Some(true));
    }
    match service {
      Some(Service {
        engine: Some(_), ..
      }) => Some((self.dialect.inspect)(address).await.is_some()),
      Some(service) => Some((self.dialect.ping)(address, service.health_path.clone()).await),
      None => Some(false),
    }
  }

  /// Returns the hashes of the names of services to which the links are lost.
  pub(super) fn unreachable_services(&self) -> Vec<u64> {
    self.lock().links.lost().map(ingress::hash).collect()
  }
}
