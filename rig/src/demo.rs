//! Demonstration: a mixed load while one host is killed and another stops gracefully.

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

/// run a fleet in one process under load while one host is killed and another stops gracefully
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
  /// number of concurrent callers
  #[argh(option, default = "24")]
  callers: usize,

  /// duration of the load in seconds
  #[argh(option, default = "12")]
  seconds: u64,

  /// seed of the load
  #[argh(option, default = "1")]
  seed: u64,
}

/// Result of a demonstration.
#[derive(Debug)]
pub struct Report {
  /// Number of jobs of the plain service that ran more than once.
  pub repeated_jobs: u64,
  /// Outcomes as seen by the callers.
  pub tally: Tally,
}

impl Demo {
  /// Runs the demonstration and prints its results.
  ///
  /// # Errors
  ///
  /// Fails if the fleet cannot be started, a job ran more than once or a stream had wrong tokens.
  pub async fn run(self) -> anyhow::Result<()> {
    println!(
      "3 entry hosts, 3 engines, 2 plain servers, {} callers",
      self.callers
    );
    let report = self.measure().await?;
    print!("{}", report.tally);
    println!(
      "{:<44} {}",
      "jobs that ran more than once (must be 0)", report.repeated_jobs
    );
    println!(
      "{:<44} {}",
      "wrong tokens (must be 0)", report.tally.token_errors
    );
    ensure!(report.repeated_jobs == 0, "a booking ran more than once");
    ensure!(
      report.tally.token_errors == 0,
      "tokens were lost, repeated, out of order or of another generation"
    );
    Ok(())
  }

  /// Runs the demonstration and returns its results.
  ///
  /// # Errors
  ///
  /// Fails when the fleet cannot be started.
  pub async fn measure(&self) -> anyhow::Result<Report> {
    let mut fleet = Fleet::start(Options::default()).await?;
    let workload = Workload::for_fleet(self.seed, None);
    let phase = Duration::from_secs(self.seconds) / 3;
    let end = Instant::now() + 3 * phase;
    let load = tokio::spawn(run_callers(fleet.client(), workload, self.callers, end));
    time::sleep(phase).await;
    println!("killing host {}", fleet.hosts[0].settings.callers);
    fleet.hosts[0].kill().await;
    time::sleep(phase / 2).await;
    println!("starting host {} again", fleet.hosts[0].settings.callers);
    fleet.hosts[0].start().await?;
    time::sleep(phase / 2).await;
    println!(
      "stopping host {} gracefully",
      fleet.hosts[1].settings.callers
    );
    fleet.hosts[1].stop().await;
    println!("host {} has stopped", fleet.hosts[1].settings.callers);
    let tally = load.await?;
    let repeated_jobs = fleet.runs().values().filter(|runs| **runs > 1).count();
    Ok(Report {
      repeated_jobs: repeated_jobs as u64,
      tally,
    })
  }
}
