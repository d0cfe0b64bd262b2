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

/// Hosts that are told of a change at once.
const FANOUT: usize = 3;
/// Hosts that a starting host asks.
const JOIN_PEERS: usize = 16;
/// Hosts that are asked in each period.
const PEERS: usize = 2;
const PERIOD: Duration = Duration::from_secs(1);
const PREFIX: &str = "gossip";
const SEED_PERIOD: Duration = Duration::from_millis(100);

/// Asks other hosts before this one serves, so that a stale platform cannot take it back.
///
/// Waits until the platform or a seed has given both documents.
pub async fn join(host: &Host) {
  while !is_informed(host) {
    ask_seeds(host).await;
    time::sleep(SEED_PERIOD).await;
  }
  round(host, JOIN_PEERS).await;
  host.contact.record_joined();
  let revision = host.view.borrow().settings.revision_in_force();
  log::info!(target: PREFIX, "Joined with settings revision {revision}.");
}

async fn ask_seeds(host: &Host) {
  let Some(key) = &host.settings.key else {
    return;
  };
  let secrets = [key.clone()];
  let exchanges = host.settings.seeds.iter().map(|seed| exchange(host, &secrets, *seed));
  future::join_all(exchanges).await;
}

fn is_informed(host: &Host) -> bool {
  let view = host.view.borrow();
  view.tree().is_some() && view.hosts.accepted.is_some()
}

/// Exchanges views with other hosts until the task is dropped.
pub async fn run(host: Host) {
  let mut view = host.view.subscribe();
  loop {
    let count = tokio::select! {
      biased;
      changed = changed(&mut view) => if changed { FANOUT } else { return },
      () = time::sleep(jittered(PERIOD)) => PEERS,
    };
    round(&host, count).await;
  }
}

async fn changed(view: &mut watch::Receiver<View>) -> bool {
  view.changed().await.is_ok()
}

fn jittered(duration: Duration) -> Duration {
  duration.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// Exchanges views with some random hosts at the same time.
async fn round(host: &Host, count: usize) {
  let Ok(tree) = host.tree() else {
    return;
  };
  let exchanges = pick(host, count);
  let exchanges = exchanges.iter().map(|entry| async {
    if let Err(error) = exchange(host, &tree.secrets, entry.peers).await {
      log::debug!(target: PREFIX, "Cannot exchange views with {}: {error:#}.", entry.callers);
    }
  });
  future::join_all(exchanges).await;
}

fn pick(host: &Host, count: usize) -> Vec<Entry> {
  let view = host.view.borrow();
  let Some(hosts) = &view.hosts.accepted else {
    return Vec::new();
  };
  let this = host.settings.callers;
  let hosts = &hosts.document.hosts;
  let others: Vec<&Entry> = hosts.iter().filter(|entry| entry.callers != this).collect();
  others.sample(&mut rand::rng(), count).map(|entry| (*entry).clone()).collect()
}
