//! Asks the engines themselves whether they leave, while the platform is silent.

use {
  super::Gateway,
  crate::{relocation, roster::Key},
  futures::future,
  std::{net::SocketAddr, time::Duration},
  tokio::time,
};

/// Pause between two rounds of questions: a fraction of the notice that engines give.
const PERIOD: Duration = Duration::from_millis(150);
const PREFIX: &str = "inspection";

/// Time until an engine is gone below which its runs have to move. Those that stay longer
/// are needed: engines that come are not known before the platform speaks again.
const SOON: Duration = Duration::from_millis(2500);

/// Asks while it is needed, until the task is dropped.
pub async fn run(gateway: Gateway) {
  let mut asking = false;
  loop {
    time::sleep(PERIOD).await;
    let engines = gateway.engines_to_inspect();
    if asking == engines.is_empty() {
      asking = !asking;
      if asking {
        log::warn!(target: PREFIX, engines = engines.len(); "The platform is silent; asking the engines whether they leave.");
      } else {
        log::info!(target: PREFIX, "No longer asking the engines whether they leave.");
      }
    }
    let answers = engines.into_iter().map(|(key, address)| ask(&gateway, key, address));
    let leaving: Vec<Key> = future::join_all(answers).await.into_iter().flatten().collect();
    if !leaving.is_empty() {
      gateway.announce_departures(&leaving, "report");
    }
  }
}

/// Asks one engine; returns it if it is news that it will soon be gone.
async fn ask(gateway: &Gateway, key: Key, address: SocketAddr) -> Option<Key> {
  let report = (gateway.dialect.inspect)(address).await?;
  let leaves_in = report.shutdown_in.filter(|time| *time <= SOON)?;
  let now = gateway.clock.now();
  let gone_at = relocation::gone_at(leaves_in, now);
  gateway.lock().roster.announce(key, gone_at, now).then_some(key)
}
