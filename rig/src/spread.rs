//! What keeping views costs, and how fast a change is in force everywhere.

use {
  crate::{
    cpu,
    fleet::{Fleet, HOST_THREADS, Options},
  },
  anyhow::{Context, ensure},
  argh::FromArgs,
  futures::future,
  std::{
    fs,
    time::{Duration, Instant},
  },
  tokio::time,
  yuccarudder::platform::Key,
};

const LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);
const SETTLE: Duration = Duration::from_secs(5);

/// measure the cost of views and the time for a change to be in force everywhere
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct Spread {
  /// client accounts
  #[argh(option, default = "3100")]
  accounts: usize,

  /// changes to publish
  #[argh(option, default = "5")]
  changes: usize,

  /// entry hosts; may be given several times
  #[argh(option)]
  hosts: Vec<usize>,

  /// seconds of rest over which the cost is measured
  #[argh(option, default = "10")]
  seconds: u64,

  /// targets
  #[argh(option, default = "770")]
  targets: usize,
}

/// What one size of fleet showed.
#[derive(Clone, Copy, Debug)]
struct Row {
  bytes: f64,
  calls: f64,
  cpu: f64,
  oldest: Duration,
  spread: Duration,
}

impl Spread {
  /// Runs the measurement and prints a row per size.
  ///
  /// # Errors
  ///
  /// Fails when a fleet cannot be started or a change does not arrive.
  pub async fn run(self) -> anyhow::Result<()> {
    ensure!(
      !self.hosts.is_empty(),
      "name at least one size with --hosts"
    );
    println!("{} targets, {} accounts", self.targets, self.accounts);
    println!(
      "{:>6} {:>16} {:>14} {:>14} {:>12} {:>12}",
      "hosts", "platform calls/s", "bytes/s a host", "core a host", "oldest view", "change"
    );
    for hosts in &self.hosts {
      let row = self.measure(*hosts).await?;
      println!(
        "{hosts:>6} {:>16.1} {:>14.0} {:>13.3}% {:>12} {:>12}",
        row.calls,
        row.bytes,
        row.cpu * 100.0,
        format!("{:.2} s", row.oldest.as_secs_f64()),
        format!("{:.2} s", row.spread.as_secs_f64()),
      );
    }
    Ok(())
  }

  async fn measure(&self, hosts: usize) -> anyhow::Result<Row> {
    let mut fleet = Fleet::start_without_hosts(Options {
      accounts: self.accounts,
      engines: 1,
      hosts,
      unused_targets: self.targets,
      plain_servers: 1,
      ..Options::default()
    })
    .await?;
    let starts = fleet.hosts.iter_mut().map(|host| host.start());
    for started in future::join_all(starts).await {
      started?;
    }
    time::sleep(SETTLE).await;
    let mut row = self.rest(&fleet).await?;
    for change in 0..self.changes {
      let out = if change % 2 == 0 {
        &["xiangshan"][..]
      } else {
        &[]
      };
      row.spread = row.spread.max(spread(&fleet, out).await?);
    }
    Ok(row)
  }

  async fn rest(&self, fleet: &Fleet) -> anyhow::Result<Row> {
    let hosts = fleet.hosts.len() as f64;
    let seconds = self.seconds as f64;
    let bytes = loopback_bytes()?;
    let calls = fleet.platform.server.calls();
    let cpu = cpu::of_threads(HOST_THREADS);
    time::sleep(Duration::from_secs(self.seconds)).await;
    Ok(Row {
      bytes: (loopback_bytes()? - bytes) as f64 / seconds / hosts,
      calls: (fleet.platform.server.calls() - calls) as f64 / seconds,
      cpu: (cpu::of_threads(HOST_THREADS) - cpu).as_secs_f64() / seconds / hosts,
      oldest: oldest(fleet),
      spread: Duration::ZERO,
    })
  }
}

/// Returns the bytes that the loopback device received.
fn loopback_bytes() -> anyhow::Result<u64> {
  let text = fs::read_to_string("/proc/net/dev")?;
  let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
  let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
  bytes.context("there is no loopback device")
}

fn oldest(fleet: &Fleet) -> Duration {
  let now = Instant::now();
  let hosts = fleet.hosts.iter().filter_map(|entry| entry.host());
  let ages = hosts.map(|host| {
    let confirmed = host.view.borrow().oldest_confirmation();
    confirmed.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
  });
  ages.max().unwrap_or_default()
}

/// Publishes a change and returns the time until every host has it in force.
async fn spread(fleet: &Fleet, out: &[&str]) -> anyhow::Result<Duration> {
  let tree = fleet.tree(out);
  let hosts = || fleet.hosts.iter().filter_map(|entry| entry.host());
  let revision = |host: &yuccarudder::host::Host| host.view.borrow().settings.revision_in_force();
  let wanted = hosts().map(revision).max().unwrap_or_default() + 1;
  let begun = Instant::now();
  fleet.platform.server.publish(Key::Settings, tree);
  while hosts().any(|host| revision(host) < wanted) {
    ensure!(
      begun.elapsed() < LIMIT,
      "a change did not reach every host in time"
    );
    time::sleep(POLL).await;
  }
  Ok(begun.elapsed())
}
