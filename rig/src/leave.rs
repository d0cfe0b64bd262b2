//! Measurement of service while a data centre leaves and returns with cold engines.

use {
  crate::{
    engine::Config,
    fleet::{DATA_CENTRES, Fleet, Options},
    load::{Workload, run_callers},
    tally::{Tally, quantiles},
  },
  argh::FromArgs,
  std::time::{Duration, Instant},
  tokio::{task::JoinHandle, time},
  yuccarudder::platform::Key,
};

const ENGINE_COUNT: usize = 6;
/// Longer than a new owner waits before it may act, with the overrides of [`Leave::options`].
const OWNERSHIP_WAIT: Duration = Duration::from_secs(6);

/// measure service while a data centre leaves under load and returns with cold engines
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "leave")]
pub struct Leave {
  /// largest number of concurrent jobs that a cold engine gets from all hosts together
  #[argh(option, default = "2")]
  bears: usize,

  /// number of concurrent callers
  #[argh(option, default = "48")]
  callers: usize,

  /// number of entry hosts
  #[argh(option, default = "7")]
  hosts: usize,

  /// duration of each phase in seconds
  #[argh(option, default = "6")]
  seconds: u64,

  /// seed of the load
  #[argh(option, default = "1")]
  seed: u64,
}

impl Leave {
  /// Runs the measurement and prints the results of each phase.
  ///
  /// # Errors
  ///
  /// Fails if the fleet cannot be started.
  pub async fn run(self) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(self.options()).await?;
    time::sleep(OWNERSHIP_WAIT).await;
    let warming = self.run_phase(&fleet).await?;
    let before = self.run_phase(&fleet).await?;
    fleet.platform.server.publish(Key::Settings, fleet.tree(&DATA_CENTRES[..1]));
    let during = self.run_phase(&fleet).await?;
    for index in (0..ENGINE_COUNT).step_by(DATA_CENTRES.len()) {
      fleet.engines[index].kill().await;
      fleet.restart_engine(index).await?;
    }
    fleet.platform.server.publish(Key::Settings, fleet.tree(&[]));
    let after = self.run_phase(&fleet).await?;
    for (name, tally) in [
      ("warming up", warming),
      ("before", before),
      ("during", during),
      ("after", after),
    ] {
      print_phase(name, &tally.await?);
    }
    let engines = fleet.engines.iter().map(|engine| engine.server.load());
    let peak = engines.map(|load| load.cold_peak).max().unwrap_or_default();
    println!(
      "largest number of concurrent jobs at a cold engine: {peak} ({} allowed)",
      self.bears
    );
    Ok(())
  }

  fn options(&self) -> Options {
    let overrides = [
      "entries_keep: 1s",
      "fresh_bound: 4s",
      "grant_life: 400ms",
      "list_lag: 100ms",
      "report_lag: 600ms",
      "ticket_life: 3s",
    ];
    Options {
      engines: ENGINE_COUNT,
      hosts: self.hosts,
      overrides: [format!("cold_jobs: {}", self.bears)]
        .into_iter()
        .chain(overrides.map(Into::into))
        .collect(),
      poll: Duration::from_millis(500),
      engine_config: Config {
        cold_start_tokens: 300,
        ..Config::default()
      },
      ..Options::default()
    }
  }

  /// Starts the load of one phase and waits for the phase to pass.
  ///
  /// Jobs of the phase may still run when the next one starts.
  async fn run_phase(&self, fleet: &Fleet) -> anyhow::Result<JoinHandle<Tally>> {
    let workload = Workload::for_fleet(self.seed, None);
    let end = Instant::now() + Duration::from_secs(self.seconds);
    let load = tokio::spawn(run_callers(fleet.client(), workload, self.callers, end));
    time::sleep_until(end.into()).await;
    Ok(load)
  }
}

fn print_phase(name: &str, tally: &Tally) {
  let share = 100.0 * tally.completed as f64 / tally.jobs.max(1) as f64;
  println!("{name}: {} jobs, {share:.2}% completed", tally.jobs);
  println!(
    "  time to first token {}",
    quantiles(&tally.time_to_first_token)
  );
  println!(
    "  time between tokens {}",
    quantiles(&tally.time_between_tokens)
  );
  println!("  wrong tokens {}", tally.token_errors);
  for (reason, count) in &tally.failed {
    println!("  failed: {reason} {count}");
  }
}
