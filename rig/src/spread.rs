//! Measurement of the cost of keeping views current and of how fast a change reaches all hosts.

use {
  crate::{
    cpu,
    fleet::{Fleet, HOST_THREAD_NAME, Options},
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

const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// measure the cost of keeping views current and the time until a change is in force at all hosts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct Spread {
  /// number of client accounts
  #[argh(option, default = "3100")]
  accounts: usize,

  /// number of changes to publish
  #[argh(option, default = "5")]
  changes: usize,

  /// number of entry hosts; may be given several times
  #[argh(option)]
  hosts: Vec<usize>,

  /// duration of the cost measurement without changes, in seconds
  #[argh(option, default = "10")]
  seconds: u64,

  /// number of targets
  #[argh(option, default = "770")]
  targets: usize,
}

/// Results for one fleet size.
#[derive(Clone, Copy, Debug)]
struct Row {
  /// Bytes received on loopback per second and host.
  received_bytes: f64,
  /// Reads at the platform per second, from all hosts.
  platform_calls: f64,
  /// Processor cores in use per host.
  cores: f64,
  /// Age of the least recently confirmed view of any host.
  oldest_view_age: Duration,
  /// Longest time until a change was in force at every host.
  propagation_time: Duration,
}

impl Spread {
  /// Runs the measurement and prints a row per fleet size.
  ///
  /// # Errors
  ///
  /// Fails if no size is given, a fleet cannot be started or a change does not reach all hosts in
  /// time.
  pub async fn run(self) -> anyhow::Result<()> {
    ensure!(!self.hosts.is_empty(), "pass at least one --hosts");
    println!("{} targets, {} accounts", self.targets, self.accounts);
    println!(
      "{:>6} {:>16} {:>14} {:>14} {:>12} {:>12}",
      "hosts", "platform calls/s", "B/s per host", "CPU per host", "oldest view", "change"
    );
    for hosts in &self.hosts {
      let row = self.measure(*hosts).await?;
      println!(
        "{hosts:>6} {:>16.1} {:>14.0} {:>13.3}% {:>12} {:>12}",
        row.platform_calls,
        row.received_bytes,
        row.cores * 100.0,
        format!("{:.2} s", row.oldest_view_age.as_secs_f64()),
        format!("{:.2} s", row.propagation_time.as_secs_f64()),
      );
    }
    Ok(())
  }

  /// Measures one fleet size.
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
    time::sleep(SETTLE_TIME).await;
    let mut row = self.measure_idle(&fleet).await?;
    for change in 0..self.changes {
      let out_of_service = if change % 2 == 0 {
        &["xiangshan"][..]
      } else {
        &[]
      };
      row.propagation_time =
        row.propagation_time.max(propagation_time(&fleet, out_of_service).await?);
    }
    Ok(row)
  }

  /// Measures the cost while no change is published.
  async fn measure_idle(&self, fleet: &Fleet) -> anyhow::Result<Row> {
    let hosts = fleet.hosts.len() as f64;
    let seconds = self.seconds as f64;
    let bytes_before = loopback_bytes()?;
    let calls_before = fleet.platform.server.calls();
    let cpu_time_before = cpu::thread_time(HOST_THREAD_NAME);
    time::sleep(Duration::from_secs(self.seconds)).await;
    Ok(Row {
      received_bytes: (loopback_bytes()? - bytes_before) as f64 / seconds / hosts,
      platform_calls: (fleet.platform.server.calls() - calls_before) as f64 / seconds,
      cores: (cpu::thread_time(HOST_THREAD_NAME) - cpu_time_before).as_secs_f64() / seconds / hosts,
      oldest_view_age: oldest_view_age(fleet),
      propagation_time: Duration::ZERO,
    })
  }
}

/// Returns the number of bytes that the loopback device has received.
fn loopback_bytes() -> anyhow::Result<u64> {
  let text = fs::read_to_string("/proc/net/dev")?;
  let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
  let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
  bytes.context("/proc/net/dev does not list the loopback device")
}

fn oldest_view_age(fleet: &Fleet) -> Duration {
  let now = Instant::now();
  let hosts = fleet.hosts.iter().filter_map(|host| host.host());
  let ages = hosts.map(|host| {
    let confirmed_at = host.view.borrow().oldest_confirmation();
    confirmed_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
  });
  ages.max().unwrap_or_default()
}

/// Publishes a settings tree and returns the time until it is in force at every host.
async fn propagation_time(fleet: &Fleet, out_of_service: &[&str]) -> anyhow::Result<Duration> {
  let tree = fleet.tree(out_of_service);
  let hosts = || fleet.hosts.iter().filter_map(|host| host.host());
  let revision = |host: &yuccarudder::host::Host| host.view.borrow().settings.revision_in_force();
  let expected_revision = hosts().map(revision).max().unwrap_or_default() + 1;
  let started = Instant::now();
  fleet.platform.server.publish(Key::Settings, tree);
  while hosts().any(|host| revision(host) < expected_revision) {
    ensure!(
      started.elapsed() < PROPAGATION_TIMEOUT,
      "the change did not reach every host in time"
    );
    time::sleep(POLL_INTERVAL).await;
  }
  Ok(started.elapsed())
}
