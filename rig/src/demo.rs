//! A demonstration: a mixed load through a host's kill and a planned stop.

use {
  crate::{
    fleet::{Fleet, Options},
    load::{Workload, run_callers},
    tally::Tally,
  },
  anyhow::ensure,
  argh::FromArgs,
  std::time::{Duration, Instant},
  tokio::time,
};

/// run a fleet in one process through a host's kill and a planned stop
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
  /// callers at a time
  #[argh(option, default = "24")]
  callers: usize,

  /// seconds of load
  #[argh(option, default = "12")]
  seconds: u64,

  /// the seed of the load
  #[argh(option, default = "1")]
  seed: u64,
}

/// What a demonstration showed.
#[derive(Debug)]
pub struct Report {
  /// Jobs of the plain service that ran more than once.
  pub repeated: u64,
  /// What callers saw.
  pub tally: Tally,
}

impl Demo {
  /// Runs the demonstration and prints a table.
  ///
  /// # Errors
  ///
  /// Fails when a promise was broken.
  pub async fn run(self) -> anyhow::Result<()> {
    println!(
      "3 entry hosts, 3 engines, 2 plain servers, {} callers",
      self.callers
    );
    let report = self.play().await?;
    print!("{}", report.tally);
    println!("{:<44} {}", "runs over one (must be 0)", report.repeated);
    println!(
      "{:<44} {}",
      "tokens out of order (must be 0)", report.tally.token_errors
    );
    ensure!(report.repeated == 0, "a booking ran more than once");
    ensure!(report.tally.token_errors == 0, "tokens were out of order");
    Ok(())
  }

  /// Runs the demonstration.
  ///
  /// # Errors
  ///
  /// Fails when the fleet cannot be started.
  pub async fn play(&self) -> anyhow::Result<Report> {
    let mut fleet = Fleet::start(Options::default()).await?;
    let mix = Workload::for_fleet(self.seed, None);
    let third = Duration::from_secs(self.seconds) / 3;
    let until = Instant::now() + 3 * third;
    let load = tokio::spawn(run_callers(fleet.client(), mix, self.callers, until));
    time::sleep(third).await;
    println!("killing host {}", fleet.hosts[0].settings.callers);
    fleet.hosts[0].kill().await;
    time::sleep(third / 2).await;
    println!("starting host {} again", fleet.hosts[0].settings.callers);
    fleet.hosts[0].start().await?;
    time::sleep(third / 2).await;
    println!(
      "stopping host {} gracefully",
      fleet.hosts[1].settings.callers
    );
    fleet.hosts[1].stop().await;
    println!("host {} has stopped", fleet.hosts[1].settings.callers);
    let tally = load.await?;
    let repeated = fleet.runs().values().filter(|runs| **runs > 1).count();
    Ok(Report {
      repeated: repeated as u64,
      tally,
    })
  }
}
