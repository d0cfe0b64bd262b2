//! Limit on the jobs that several hosts together send to an engine in its cold start.

use {
  rig::{
    engine::Config,
    fleet::{Fleet, Options},
    load::{Workload, run_callers},
  },
  std::time::{Duration, Instant},
  tokio::time,
};

const MAX_COLD_JOBS: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Sets the limit of jobs and reduces the wait of a new owner of the cold grants to 5.6 s:
/// `fresh_bound`, `list_lag`, twice `grant_life`, `report_lag` and 1 % for clock drift.
const OVERRIDES: [&str; 7] = [
  "cold_jobs: 2",
  "entries_keep: 200ms",
  "fresh_bound: 4s",
  "grant_life: 400ms",
  "list_lag: 100ms",
  "report_lag: 600ms",
  "ticket_life: 1s",
];

async fn start_fleet() -> Fleet {
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
  // Longer than the wait of a new owner, so that the owners grant jobs when the test begins.
  time::sleep(Duration::from_secs(6)).await;
  fleet
}

fn workload() -> Workload {
  Workload::for_fleet(1, Some(20))
}

/// Waits until an engine has left its cold start, and checks the peak of its concurrent jobs.
async fn wait_until_warm(fleet: &Fleet, engine: usize) {
  let start = Instant::now();
  let load = || fleet.engines[engine].server.load();
  while load().cold {
    assert!(
      start.elapsed() < TIMEOUT,
      "the engine did not leave its cold start: {:?}",
      load()
    );
    time::sleep(POLL_INTERVAL).await;
  }
  assert!(load().cold_peak <= MAX_COLD_JOBS, "{:?}", load());
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_engines_stay_within_their_job_limit() {
  let mut fleet = start_fleet().await;
  let load = tokio::spawn(run_callers(
    fleet.client(),
    workload(),
    24,
    Instant::now() + TIMEOUT,
  ));
  wait_until_warm(&fleet, 0).await;
  wait_until_warm(&fleet, 1).await;
  // The restart returns the engine to its cold start under full load, unknown to the hosts.
  fleet.engines[0].kill().await;
  fleet.restart_engine(0).await.unwrap();
  assert!(fleet.engines[0].server.load().cold);
  wait_until_warm(&fleet, 0).await;
  load.abort();
}
