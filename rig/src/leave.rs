//! Service while a data centre leaves and returns cold.

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

const ENGINES: usize = 6;
const OWNER_WAIT: Duration = Duration::from_secs(6);

/// measure service while a data centre leaves under load and returns with cold engines
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "leave")]
pub struct Leave {
  /// jobs that a cold engine gets from all hosts together
  #[argh(option, default = "2")]
  bears: usize,

  /// callers at a time
  #[argh(option, default = "48")]
  callers: usize,

  /// entry hosts
  #[argh(option, default = "7")]
  hosts: usize,

  /// seconds of each phase
  #[argh(option, default = "6")]
  seconds: u64,

  /// the seed of the load
  #[argh(option, default = "1")]
  seed: u64,
}

impl Leave {
  /// Runs the measurement and prints a row per phase.
  ///
  /// # Errors
  ///
  /// Fails when the fleet cannot be started.
  pub async fn run(self) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(self.options()).await?;
    time::sleep(OWNER_WAIT).await;
    let warming = self.phase(&fleet).await?;
    let before = self.phase(&fleet).await?;
    fleet.platform.server.publish(Key::Settings, fleet.tree(&DATA_CENTRES[..1]));
    let during = self.phase(&fleet).await?;
    for index in (0..ENGINES).step_by(DATA_CENTRES.len()) {
      fleet.engines[index].kill().await;
      fleet.restart_engine(index).await?;
    }
    fleet.platform.server.publish(Key::Settings, fleet.tree(&[]));
    let after = self.phase(&fleet).await?;
    for (name, tally) in [
      ("warming up", warming),
      ("before", before),
      ("during", during),
      ("after", after),
    ] {
      report(name, &tally.await?);
    }
    let engines = fleet.engines.iter().map(|engine| engine.server.load());
    let peak = engines.map(|load| load.cold_peak).max().unwrap_or_default();
    println!(
      "most jobs at a cold engine at a time: {peak} ({} allowed)",
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
      engines: ENGINES,
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
  /// Jobs of the phase may end in the next one.
  async fn phase(&self, fleet: &Fleet) -> anyhow::Result<JoinHandle<Tally>> {
    let mix = Workload::for_fleet(self.seed, None);
    let until = Instant::now() + Duration::from_secs(self.seconds);
    let load = tokio::spawn(run_callers(fleet.client(), mix, self.callers, until));
    time::sleep_until(until.into()).await;
    Ok(load)
  }
}

fn report(name: &str, tally: &Tally) {
  let share = 100.0 * tally.completed as f64 / tally.jobs.max(1) as f64;
  println!("{name}: {} jobs, {share:.2}% whole", tally.jobs);
  println!("  first token {}", quantiles(&tally.first));
  println!("  between tokens {}", quantiles(&tally.between));
  println!("  tokens out of order {}", tally.token_errors);
  for (reason, count) in &tally.failed {
    println!("  refused: {reason} {count}");
  }
}
