use {
  super::exchange,
  crate::{
    host::Host,
    view::{Entry, View},
  },
  futures::future,
  rand::{RngExt, seq::IndexedRandom},
  std::time::Duration,
  tokio::{sync::watch, time},
};

/// Peers to exchange views with after a change.
const PEERS_AFTER_CHANGE: usize = 3;
/// Peers to exchange views with before this host serves.
const PEERS_AT_JOIN: usize = 16;
/// Peers to exchange views with in each interval.
const PEERS_PER_INTERVAL: usize = 2;
const INTERVAL: Duration = Duration::from_secs(1);
const PREFIX: &str = "gossip";
const SEED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Exchanges views with other hosts before this one serves, so that a stale platform cannot
/// give it documents older than those that the other hosts have.
///
/// Waits until both documents have come from the platform or a seed.
pub async fn join(host: &Host) {
  while !has_documents(host) {
    exchange_with_seeds(host).await;
    time::sleep(SEED_RETRY_DELAY).await;
  }
  run_round(host, PEERS_AT_JOIN).await;
  host.contact.record_joined();
  let revision = host.view.borrow().settings.revision_in_force();
  log::info!(target: PREFIX, "Joined the other hosts with settings revision {revision}.");
}

async fn exchange_with_seeds(host: &Host) {
  let Some(key) = &host.settings.key else {
    return;
  };
  let secrets = [key.clone()];
  let exchanges = host.settings.seeds.iter().map(|seed| exchange(host, &secrets, *seed));
  future::join_all(exchanges).await;
}

fn has_documents(host: &Host) -> bool {
  let view = host.view.borrow();
  view.tree().is_some() && view.hosts.accepted.is_some()
}

/// Exchanges views with other hosts at intervals and after each change, until the task is
/// dropped.
pub async fn run(host: Host) {
  let mut view = host.view.subscribe();
  loop {
    let count = tokio::select! {
      biased;
      changed = wait_for_change(&mut view) => if changed { PEERS_AFTER_CHANGE } else { return },
      () = time::sleep(jittered(INTERVAL)) => PEERS_PER_INTERVAL,
    };
    run_round(&host, count).await;
  }
}

async fn wait_for_change(view: &mut watch::Receiver<View>) -> bool {
  view.changed().await.is_ok()
}

fn jittered(duration: Duration) -> Duration {
  duration.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// Exchanges views with some random hosts concurrently.
async fn run_round(host: &Host, count: usize) {
  let Ok(tree) = host.tree() else {
    return;
  };
  let peers = sample_peers(host, count);
  let exchanges = peers.iter().map(|entry| async {
    if let Err(error) = exchange(host, &tree.secrets, entry.peers).await {
      log::debug!(target: PREFIX, "Failed to exchange views with {}: {error:#}.", entry.callers);
    }
  });
  future::join_all(exchanges).await;
}

fn sample_peers(host: &Host, count: usize) -> Vec<Entry> {
  let view = host.view.borrow();
  let Some(hosts) = &view.hosts.accepted else {
    return Vec::new();
  };
  let own_address = host.settings.callers;
  let hosts = &hosts.document.hosts;
  let others: Vec<&Entry> = hosts.iter().filter(|entry| entry.callers != own_address).collect();
  others.sample(&mut rand::rng(), count).map(|entry| (*entry).clone()).collect()
}
