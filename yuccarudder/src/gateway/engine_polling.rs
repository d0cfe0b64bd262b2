//! Polls the engines for planned departures while the platform does not respond.

use {
  super::Gateway,
  crate::{relocation, roster::Key},
  futures::future,
  std::{net::SocketAddr, time::Duration},
  tokio::time,
};

/// Interval between polls; a fraction of the time for which engines announce a departure.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
const PREFIX: &str = "inspection";

/// Maximum time until a departure for the runs of an engine to be migrated. Engines that stay
/// longer are still needed, as new ones become known only when the platform responds again.
const MAX_MIGRATION_NOTICE: Duration = Duration::from_millis(2500);

/// Polls the engines whenever the platform does not respond, until the task is dropped.
pub async fn run(gateway: Gateway) {
  let mut polling = false;
  loop {
    time::sleep(POLL_INTERVAL).await;
    let engines = gateway.engines_to_poll();
    if polling == engines.is_empty() {
      polling = !polling;
      if polling {
        log::warn!(target: PREFIX, engines = engines.len(); "The platform does not answer; polling the engines for departures.");
      } else {
        log::info!(target: PREFIX, "Stopped polling the engines for departures.");
      }
    }
    let polls = engines.into_iter().map(|(key, address)| poll(&gateway, key, address));
    let leaving: Vec<Key> = future::join_all(polls).await.into_iter().flatten().collect();
    if !leaving.is_empty() {
      gateway.announce_departures(&leaving, "report");
    }
  }
}

/// Polls one engine; returns its key if it newly reports that it will soon be gone.
async fn poll(gateway: &Gateway, key: Key, address: SocketAddr) -> Option<Key> {
  let report = (gateway.dialect.inspect)(address).await?;
  let shutdown_in = report.shutdown_in.filter(|time| *time <= MAX_MIGRATION_NOTICE)?;
  let now = gateway.clock.now();
  let leaves_at = relocation::leaves_at(shutdown_in, now);
  gateway.lock().roster.mark_leaving(key, leaves_at, now).then_some(key)
}
