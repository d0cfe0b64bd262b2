//! Polls the engines for planned departures while the platform does not answer.

use {
  super::Gateway,
  crate::{relocation, roster::Key},
  futures::future,
  std::{net::SocketAddr, time::Duration},
  tokio::time,
};

/// Interval between polls; a fraction of the notice that engines give before they leave.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
const PREFIX: &str = "inspection";

/// Longest time until a departure at which the runs of an engine are migrated. Engines that stay
/// longer are still needed, as new ones become known only when the platform answers again.
const MAX_MIGRATION_NOTICE: Duration = Duration::from_millis(2500);

/// Polls the engines whenever the platform does not answer, until the task is dropped.
pub async fn run(gateway: Gateway) {
  let mut polling = false;
  loop {
    time::sleep(POLL_INTERVAL).await;
    let engines = gateway.engines_to_ask();
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
      gateway.tell_leaving(&leaving, "report");
    }
  }
}

/// Polls one engine; returns its key if it newly reports that it will soon be gone.
async fn poll(gateway: &Gateway, key: Key, address: SocketAddr) -> Option<Key> {
  let report = (gateway.dialect.inspect)(address).await?;
  let leaves_in = report.leaves_in.filter(|time| *time <= MAX_MIGRATION_NOTICE)?;
  let now = gateway.clock.now();
  let leaves_at = relocation::leaves_at(leaves_in, now);
  gateway.lock().roster.mark_leaving(key, leaves_at, now).then_some(key)
}
