//! Entry hosts as real processes under kills, freezes and stops.

mod support;

use {
  nix::sys::signal::Signal,
  rig::{
    fleet::{MODEL, Options},
    load::{Mix, generate},
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

const LONG: u64 = 400;

fn booking(name: &str) -> Call {
  Mix::of_fleet(1, None).booking(name)
}

fn mix(tokens: u64) -> Mix {
  Mix::of_fleet(1, Some(tokens))
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
    check.take(&token);
  }
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_generations_and_calls() {
  let processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  let mut tally = Tally::default();
  generate(&client, &mix(20), &mut tally).await;
  assert_eq!((tally.whole, tally.tokens, tally.out_of_order), (1, 20, 0));
  let called = client.call(&booking("seat 4")).await.unwrap();
  assert_eq!(called.body, "booked seat 4 run 1\n");
  let again = client.call(&booking("seat 4")).await.unwrap();
  assert_eq!(again.body, "booked seat 4 run 1\n");
  assert_eq!(processes.fleet.runs()["seat 4"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_after_its_host_is_killed() {
  let mut processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  let mut generation = start_generation(&client, LONG).await;
  let mut check = Check::default();
  check.take(&generation.next().await.unwrap().unwrap());
  processes.hosts[0].signal(Signal::SIGKILL);
  processes.hosts[0].wait().await;
  finish_generation(&mut generation, &mut check).await;
  assert_eq!((check.tokens(), check.faults()), (LONG, 0));
  assert!(generation.reattach_attempts > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_after_its_host_was_frozen() {
  let processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  let mut generation = start_generation(&client, LONG).await;
  let mut check = Check::default();
  check.take(&generation.next().await.unwrap().unwrap());
  processes.hosts[0].signal(Signal::SIGSTOP);
  tokio::time::sleep(Duration::from_secs(1)).await;
  processes.hosts[0].signal(Signal::SIGCONT);
  finish_generation(&mut generation, &mut check).await;
  assert_eq!((check.tokens(), check.faults()), (LONG, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_in_flight_at_a_killed_home_runs_once_and_is_unknown() {
  let mut processes = Processes::start(Options::default()).await;
  for plain in &processes.fleet.plains {
    plain.stand_in.set_faults(plain::Faults {
      delay_ms: 2000,
      ..plain::Faults::default()
    });
  }
  let client = processes.fleet.client();
  let call = booking("seat 9");
  let asked = tokio::spawn({
    let client = client.clone();
    async move { client.call(&call).await }
  });
  while processes.fleet.runs().is_empty() {
    tokio::time::sleep(Duration::from_millis(10)).await;
  }
  processes.hosts[0].signal(Signal::SIGKILL);
  processes.hosts[0].wait().await;
  processes.hosts[0] = processes.spawn(0).await;
  let failure = asked.await.unwrap().unwrap_err();
  assert_eq!(failure.ran, Execution::Unknown, "{failure}");
  assert_eq!(processes.fleet.runs()["seat 9"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_at_a_frozen_home_runs_at_most_once() {
  let processes = Processes::start(Options::default()).await;
  let client = processes.fleet.client();
  client.entries().await.unwrap();
  processes.hosts[0].signal(Signal::SIGSTOP);
  let call = booking("seat 11");
  let asked = tokio::spawn({
    let client = client.clone();
    async move { client.call(&call).await }
  });
  tokio::time::sleep(Duration::from_secs(1)).await;
  processes.hosts[0].signal(Signal::SIGCONT);
  let result = asked.await.unwrap();
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
async fn booking_at_a_target_that_never_answers_is_unknown() {
  let options = Options {
    overrides: vec![
      "deadline: 1s".into(),
      "entries_keep: 1s".into(),
      "ticket_life: 10s".into(),
    ],
    ..Options::default()
  };
  let processes = Processes::start(options).await;
  for plain in &processes.fleet.plains {
    plain.stand_in.set_faults(plain::Faults {
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
async fn planned_stop_cuts_nothing_and_exits_zero() {
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
  let mut generation = start_generation(&client, 2 * LONG).await;
  let mut check = Check::default();
  check.take(&generation.next().await.unwrap().unwrap());
  processes.hosts[0].signal(Signal::SIGTERM);
  finish_generation(&mut generation, &mut check).await;
  assert_eq!((check.tokens(), check.faults()), (2 * LONG, 0));
  // The job outlives the bound, so its caller was told to go elsewhere.
  assert!(generation.reattach_attempts > 0);
  assert!(processes.hosts[0].wait().await.success());
}
