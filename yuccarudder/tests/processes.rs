//! Entry hosts in child processes that are killed, suspended and shut down.

mod support;

use {
  nix::sys::signal::Signal,
  rig::{
    fleet::{MODEL, Options},
    load::{Workload, generate},
    plain,
    tally::{Check, Tally},
  },
  serde_json::{Map, Value, json},
  std::time::Duration,
  support::Processes,
  yuccarudder::{
    caller::{Call, Client, Generation},
    generation::Endpoint,
    refusal::Execution,
  },
};

const LONG_GENERATION_TOKENS: u64 = 400;

fn booking(name: &str) -> Call {
  Workload::for_fleet(1, None).booking(name)
}

fn workload(tokens: u64) -> Workload {
  Workload::for_fleet(1, Some(tokens))
}

async fn start_generation(client: &Client, tokens: u64) -> Generation {
  let mut body = Map::new();
  body.insert("model".into(), MODEL.into());
  body.insert(
    "messages".into(),
    json!([{ "role": "user", "content": "Plan a week." }]),
  );
  body.insert("rig_tokens".into(), Value::from(tokens));
  client.generate(Endpoint::Chat, body).await.unwrap()
}

async fn finish_generation(generation: &mut Generation, check: &mut Check) {
  while let Some(token) = generation.next().await.unwrap() {
    check.observe(&token);
  }
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_generations_and_calls() {
  let processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  let mut tally = Tally::default();
  generate(&client, &workload(20), &mut tally).await;
  assert_eq!(
    (tally.completed, tally.tokens, tally.token_errors),
    (1, 20, 0)
  );
  let response = client.call(&booking("seat 4")).await.unwrap();
  assert_eq!(response.body, "booked seat 4 run 1\n");
  let repeated = client.call(&booking("seat 4")).await.unwrap();
  assert_eq!(repeated.body, "booked seat 4 run 1\n");
  assert_eq!(processes.fleet.runs()["seat 4"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_after_its_host_is_killed() {
  let mut processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  let mut generation = start_generation(&client, LONG_GENERATION_TOKENS).await;
  let mut check = Check::default();
  check.observe(&generation.next().await.unwrap().unwrap());
  processes.hosts[0].signal(Signal::SIGKILL);
  processes.hosts[0].wait().await;
  finish_generation(&mut generation, &mut check).await;
  assert_eq!(
    (check.tokens(), check.errors()),
    (LONG_GENERATION_TOKENS, 0)
  );
  assert!(generation.reattach_attempts > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_after_its_host_was_suspended() {
  let processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  let mut generation = start_generation(&client, LONG_GENERATION_TOKENS).await;
  let mut check = Check::default();
  check.observe(&generation.next().await.unwrap().unwrap());
  processes.hosts[0].signal(Signal::SIGSTOP);
  tokio::time::sleep(Duration::from_secs(1)).await;
  processes.hosts[0].signal(Signal::SIGCONT);
  finish_generation(&mut generation, &mut check).await;
  assert_eq!(
    (check.tokens(), check.errors()),
    (LONG_GENERATION_TOKENS, 0)
  );
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_in_flight_at_a_killed_home_runs_once_and_is_reported_as_unknown() {
  let mut processes = Processes::start(Options::default()).await;
  for plain in &processes.fleet.plain_servers {
    plain.server.set_faults(plain::Faults {
      delay_ms: 2000,
      ..plain::Faults::default()
    });
  }
  let client = processes.fleet.client();
  let call = booking("seat 9");
  let pending = tokio::spawn({
    let client = client.clone();
    async move { client.call(&call).await }
  });
  while processes.fleet.runs().is_empty() {
    tokio::time::sleep(Duration::from_millis(10)).await;
  }
  processes.hosts[0].signal(Signal::SIGKILL);
  processes.hosts[0].wait().await;
  processes.hosts[0] = processes.spawn(0).await;
  let failure = pending.await.unwrap().unwrap_err();
  assert_eq!(failure.ran, Execution::Unknown, "{failure}");
  assert_eq!(processes.fleet.runs()["seat 9"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_at_a_suspended_home_runs_at_most_once() {
  let processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  client.entries().await.unwrap();
  processes.hosts[0].signal(Signal::SIGSTOP);
  let call = booking("seat 11");
  let pending = tokio::spawn({
    let client = client.clone();
    async move { client.call(&call).await }
  });
  tokio::time::sleep(Duration::from_secs(1)).await;
  processes.hosts[0].signal(Signal::SIGCONT);
  let result = pending.await.unwrap();
  let runs = processes.fleet.runs().get("seat 11").copied().unwrap_or_default();
  match result {
    Ok(_) => assert_eq!(runs, 1),
    Err(failure) => {
      assert_ne!(failure.ran, Execution::NotRun, "{failure}");
      assert!(runs <= 1);
    }
  }
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_at_a_target_that_never_responds_is_reported_as_unknown() {
  let options = Options {
    overrides: vec![
      "deadline: 1s".into(),
      "entries_keep: 1s".into(),
      "ticket_life: 10s".into(),
    ],
    ..Options::default()
  };
  let processes = Processes::start(options).await;
  for plain in &processes.fleet.plain_servers {
    plain.server.set_faults(plain::Faults {
      swallow: true,
      ..plain::Faults::default()
    });
  }
  let client = processes.fleet.client();
  let failure = client.call(&booking("seat 2")).await.unwrap_err();
  assert_eq!(failure.ran, Execution::Unknown, "{failure}");
  assert_eq!(processes.fleet.runs()["seat 2"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_interrupts_nothing_and_exits_with_zero() {
  let options = Options {
    overrides: vec![
      "entries_keep: 500ms".into(),
      "ticket_life: 1s".into(),
      "drain_bound: 2s".into(),
    ],
    ..Options::default()
  };
  let mut processes = Processes::start(options).await;
  let client = processes.fleet.client();
  let mut generation = start_generation(&client, 2 * LONG_GENERATION_TOKENS).await;
  let mut check = Check::default();
  check.observe(&generation.next().await.unwrap().unwrap());
  processes.hosts[0].signal(Signal::SIGTERM);
  finish_generation(&mut generation, &mut check).await;
  assert_eq!(
    (check.tokens(), check.errors()),
    (2 * LONG_GENERATION_TOKENS, 0)
  );
  // The generation runs longer than `drain_bound`, so its caller was directed to reattach elsewhere.
  assert!(generation.reattach_attempts > 0);
  assert!(processes.hosts[0].wait().await.success());
}
