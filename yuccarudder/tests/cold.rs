//! Engines in their cold start before several hosts under load.

use {
  rig::{
    engine::Config,
    fleet::{Fleet, Options},
    load::{Workload, run_callers},
  },
  std::time::{Duration, Instant},
  tokio::time,
};

const BEARS: usize = 2;
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);
/// Times that add up to a wait of 5 s for a new owner.
const OVERRIDES: [&str; 7] = [
  "cold_jobs: 2",
  "entries_keep: 200ms",
  "fresh_bound: 4s",
  "grant_life: 400ms",
  "list_lag: 100ms",
  "report_lag: 600ms",
  "ticket_life: 1s",
];

async fn fleet() -> Fleet {
  let options = Options {
    engines: 2,
    overrides: OVERRIDES.map(Into::into).into(),
    plain_servers: 1,
    poll: Duration::from_millis(500),
    engine_config: Config {
      cold_start_tokens: 150,
      ..Config::default()
    },
    ..Options::default()
  };
  let fleet = Fleet::start(options).await.unwrap();
  // The owners wait out their predecessors.
  time::sleep(Duration::from_secs(6)).await;
  fleet
}

fn mix() -> Workload {
  Workload::for_fleet(1, Some(20))
}

/// Waits until an engine is past its cold start, and checks what it had to bear.
async fn get_warm(fleet: &Fleet, engine: usize) {
  let begun = Instant::now();
  let load = || fleet.engines[engine].server.load();
  while load().cold {
    assert!(
      begun.elapsed() < PATIENCE,
      "the engine stays cold: {:?}",
      load()
    );
    time::sleep(POLL).await;
  }
  assert!(load().cold_peak <= BEARS, "{:?}", load());
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_engines_get_no_more_than_they_bear() {
  let mut fleet = fleet().await;
  let load = tokio::spawn(run_callers(
    fleet.client(),
    mix(),
    24,
    Instant::now() + PATIENCE,
  ));
  get_warm(&fleet, 0).await;
  get_warm(&fleet, 1).await;
  // It turns cold again under full load, without warning.
  fleet.engines[0].kill().await;
  fleet.restart_engine(0).await.unwrap();
  assert!(fleet.engines[0].server.load().cold);
  get_warm(&fleet, 0).await;
  load.abort();
}
