//! Promises to callers while links, engines, hosts and the platform fail.

use {
  bytes::Bytes,
  futures::future,
  hyper::{HeaderMap, Method, Request, StatusCode},
  rig::{
    engine,
    fleet::{CREDENTIAL, Fleet, MODEL, Options, SERVICE},
    load::{Mix, drive, generate},
    plain, platform,
    tally::{Check, Tally},
  },
  serde_json::{Value, json},
  std::time::{Duration, Instant},
  tokio::time,
  yuccarudder::{
    caller::{Call, Client, Failure, Reply},
    clock::Clock,
    generation::Endpoint,
    http,
    platform::Key,
    refusal::Execution,
  },
};

const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

fn booking(name: &str) -> Call {
  Mix::of_fleet(1, None).booking(name)
}

/// A caller that knows one host only.
fn client_of(fleet: &Fleet, host: usize) -> Client {
  let callers = fleet.hosts[host].settings.callers;
  Client::new(Clock::system(), vec![callers], CREDENTIAL)
}

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
  let begun = Instant::now();
  while !holds() {
    assert!(begun.elapsed() < PATIENCE, "{what}");
    time::sleep(POLL).await;
  }
}

fn mix(tokens: u64) -> Mix {
  Mix::of_fleet(1, Some(tokens))
}

/// The usual options with some of the operator's overrides replaced or added.
fn options(overrides: &[&str]) -> Options {
  let mut options = Options::default();
  let knob = |line: &str| line.split(':').next().map(str::to_owned);
  let replaced: Vec<_> = overrides.iter().map(|line| knob(line)).collect();
  options.overrides.retain(|line| !replaced.contains(&knob(line)));
  options.overrides.extend(overrides.iter().map(ToString::to_string));
  options
}

/// Sends a key to one host and returns the response's status, headers and body.
async fn send_key(
  fleet: &Fleet,
  host: usize,
  ticket: &str,
  (path, nonce, body): (&str, &str, Vec<u8>),
) -> (StatusCode, HeaderMap, Bytes) {
  let request = Request::post(format!("/v1/services/{SERVICE}/{path}"))
    .header("idempotency-key", nonce)
    .header("yuccarudder-ticket", ticket)
    .body(http::full(body))
    .unwrap();
  let callers = fleet.hosts[host].settings.callers;
  let response = client_of(fleet, host).send(callers, request).await.unwrap();
  let (head, body) = response.into_parts();
  let body = http::collect(body, 1 << 20).await.unwrap();
  (head.status, head.headers, body)
}

async fn ticket_of(fleet: &Fleet, host: usize) -> String {
  client_of(fleet, host).entries().await.unwrap().ticket.unwrap()
}

/// Asks for a whole answer and returns its status and text.
async fn whole(fleet: &Fleet, tokens: u64) -> (StatusCode, String) {
  let body = json!({ "model": MODEL, "prompt": "Plan a week.", "rig_tokens": tokens });
  let request = Request::post("/v1/completions").body(http::full(body.to_string())).unwrap();
  let callers = fleet.hosts[0].settings.callers;
  let response = fleet.client().send(callers, request).await.unwrap();
  let status = response.status();
  let bytes = http::collect(response.into_body(), 1 << 20).await.unwrap();
  let body: Value = serde_json::from_slice(&bytes).unwrap();
  let text = body["choices"][0]["text"].as_str().unwrap_or_default();
  (status, text.to_owned())
}

/// Returns whether a text is one generation with each index once, in order.
fn is_one_generation(text: &str, tokens: usize) -> bool {
  let mut parts = text.split_whitespace().map(|token| token.split_once(':').unwrap());
  let generations: Vec<&str> = parts.clone().map(|(generation, _)| generation).collect();
  let in_order = parts.by_ref().enumerate().all(|(at, (_, index))| index == at.to_string());
  in_order && generations.len() == tokens && generations.windows(2).all(|pair| pair[0] == pair[1])
}

async fn faulty_engines(faults: engine::Faults) -> Tally {
  let fleet = Fleet::start(options(&["stall_timeout: 200ms"])).await.unwrap();
  for engine in &fleet.engines {
    engine.stand_in.set_faults(faults);
  }
  let mut tally = Tally::default();
  for _ in 0..4 {
    generate(&fleet.client(), &mix(40), &mut tally).await;
  }
  tally
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_links_are_resumed() {
  let tally = faulty_engines(engine::Faults {
    cut_after: 3,
    ..engine::Faults::default()
  });
  let tally = tally.await;
  assert_eq!((tally.whole, tally.tokens, tally.out_of_order), (4, 160, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_events_reach_no_caller() {
  let tally = faulty_engines(engine::Faults {
    cross: true,
    ..engine::Faults::default()
  });
  let tally = tally.await;
  assert_eq!((tally.whole, tally.tokens, tally.out_of_order), (4, 160, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn job_moves_on_from_an_engine_that_never_answers() {
  let overrides = [
    "first_token_timeout: 100ms",
    "stall_timeout: 100ms",
    "resumes: 1",
  ];
  let fleet = Fleet::start(options(&overrides)).await.unwrap();
  fleet.engines[0].stand_in.set_faults(engine::Faults {
    swallow: true,
    ..engine::Faults::default()
  });
  let mut tally = Tally::default();
  for _ in 0..9 {
    generate(&fleet.client(), &mix(5), &mut tally).await;
  }
  assert_eq!((tally.whole, tally.out_of_order), (9, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_engine_is_not_spliced() {
  let mut fleet = Fleet::start(options(&["resumes: 2"])).await.unwrap();
  let mut generation = fleet.client().generate(Endpoint::Text, body(2000)).await.unwrap();
  let mut check = Check::default();
  check.take(&generation.next().await.unwrap().unwrap());
  let at = busy_engine(&fleet);
  fleet.engines[at].kill().await;
  let failure = loop {
    match generation.next().await {
      Ok(Some(token)) => check.take(&token),
      Ok(None) => panic!("a cut generation ended as whole"),
      Err(failure) => break failure,
    }
  };
  assert_ne!(failure.ran, Execution::NotRun, "{failure}");
  assert_eq!(check.faults(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_runs_again_after_its_engine_was_killed() {
  let mut fleet = Fleet::start(options(&["resumes: 2"])).await.unwrap();
  let callers = fleet.hosts[0].settings.callers;
  let asked = tokio::spawn({
    let client = fleet.client();
    async move {
      let body = json!({ "model": MODEL, "prompt": "a", "rig_tokens": 200 }).to_string();
      let request = Request::post("/v1/completions").body(http::full(body)).unwrap();
      let response = client.send(callers, request).await.unwrap();
      http::collect(response.into_body(), 1 << 20).await.unwrap()
    }
  });
  eventually("no engine runs the job", || {
    fleet.engines.iter().any(|engine| engine.stand_in.load().memory_used > 50)
  })
  .await;
  let at = busy_engine(&fleet);
  fleet.engines[at].kill().await;
  let answer: Value = serde_json::from_slice(&asked.await.unwrap()).unwrap();
  let text = answer["choices"][0]["text"].as_str().unwrap();
  assert!(is_one_generation(text, 200), "{text}");
}

fn body(tokens: u64) -> serde_json::Map<String, Value> {
  let body = json!({ "model": MODEL, "prompt": "Plan a week.", "rig_tokens": tokens });
  body.as_object().unwrap().clone()
}

fn busy_engine(fleet: &Fleet) -> usize {
  let running = |engine: &rig::fleet::Running<engine::Engine>| engine.stand_in.load().running > 0;
  fleet.engines.iter().position(running).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn refusing_engine_is_passed_over() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  fleet.engines[0].stand_in.set_faults(engine::Faults {
    refuse: true,
    ..engine::Faults::default()
  });
  for _ in 0..6 {
    let (status, text) = whole(&fleet, 5).await;
    assert_eq!(status, StatusCode::OK);
    assert!(is_one_generation(&text, 5), "{text}");
  }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusing_engines_do_not_multiply_load() {
  const JOBS: u64 = 100;
  let fleet = Fleet::start(options(&["retry_percent: 20"])).await.unwrap();
  for engine in &fleet.engines {
    engine.stand_in.set_faults(engine::Faults {
      refuse: true,
      ..engine::Faults::default()
    });
  }
  for _ in 0..JOBS {
    whole(&fleet, 5).await;
  }
  let asked: u64 = fleet.engines.iter().map(|engine| engine.stand_in.asked()).sum();
  // Ten retries may be saved up; the rest is a fifth of the jobs.
  assert!(
    (JOBS..=JOBS + 10 + JOBS / 5).contains(&asked),
    "{asked} requests for {JOBS} jobs"
  );
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_cancels_its_generation() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let callers = fleet.hosts[0].settings.callers;
  let mut asked = body(5000);
  asked.insert("stream".into(), true.into());
  let bytes = Value::Object(asked).to_string();
  let request = Request::post("/v1/completions").body(http::full(bytes)).unwrap();
  let client = fleet.client();
  let response = client.send(callers, request).await.unwrap();
  let running = || fleet.engines.iter().map(|engine| engine.stand_in.load().running).sum::<usize>();
  assert_eq!(running(), 1);
  drop(response);
  eventually("the generation still runs", || running() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_sent_to_every_host_runs_once() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let ticket = ticket_of(&fleet, 0).await;
  let send = |host| {
    send_key(
      &fleet,
      host,
      &ticket,
      ("bookings", "seat 4", b"seat 4".to_vec()),
    )
  };
  let answers = future::join_all((0..9).map(|at| send(at % 3))).await;
  for (status, _, body) in answers {
    assert_eq!(status, StatusCode::CREATED);
    assert_eq!(body, "booked seat 4 run 1\n");
  }
  assert_eq!(fleet.runs()["seat 4"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_whose_home_restarted_is_unknown() {
  let mut fleet = Fleet::start(Options::default()).await.unwrap();
  let ticket = ticket_of(&fleet, 0).await;
  let seat = || ("bookings", "seat 1", b"seat 1".to_vec());
  let (status, ..) = send_key(&fleet, 0, &ticket, seat()).await;
  assert_eq!(status, StatusCode::CREATED);
  fleet.hosts[0].kill().await;
  fleet.hosts[0].start().await.unwrap();
  for host in 0..3 {
    let (_, headers, body) = send_key(&fleet, host, &ticket, seat()).await;
    assert_eq!(headers["yuccarudder-ran"], "unknown");
    assert_eq!(Failure::parse(&body).unwrap().code, "home_gone");
  }
  assert_eq!(fleet.runs()["seat 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_larger_than_kept_is_whole_once_and_then_said_to_be_lost() {
  const BYTES: usize = 300_000;
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let ticket = ticket_of(&fleet, 0).await;
  let body = || vec![b'x'; BYTES];
  // Once at the home itself and once through another host.
  for (host, nonce) in [(0, "a"), (1, "b")] {
    let (status, _, answer) = send_key(&fleet, host, &ticket, ("echo", nonce, body())).await;
    assert_eq!((status, answer.len()), (StatusCode::OK, BYTES));
    let (_, headers, answer) = send_key(&fleet, host, &ticket, ("echo", nonce, body())).await;
    assert_eq!(headers["yuccarudder-ran"], "unknown");
    assert_eq!(Failure::parse(&answer).unwrap().code, "answer_not_kept");
  }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_body_passes_both_ways_as_a_stream() {
  const BYTES: usize = 900_000;
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let call = Call {
    body: vec![b'y'; BYTES].into(),
    idempotency_key: None,
    path: "echo".into(),
    ..booking("")
  };
  let Reply { body, status } = fleet.client().call(&call).await.unwrap();
  assert_eq!((body.len(), status), (BYTES, StatusCode::OK));
  let too_large = Call {
    body: vec![b'y'; 2 << 20].into(),
    ..call
  };
  let failure = fleet.client().call(&too_large).await.unwrap_err();
  assert_eq!(
    (failure.ran, failure.code.as_str()),
    (Execution::NotRun, "body_too_large")
  );
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_is_never_taken_for_whole() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  for plain in &fleet.plains {
    plain.stand_in.set_faults(plain::Faults {
      cut: true,
      ..plain::Faults::default()
    });
  }
  let slots = Call {
    body: Bytes::new(),
    method: Method::GET,
    idempotency_key: None,
    path: "slots".into(),
    service: SERVICE.into(),
  };
  let failure = fleet.client().call(&slots).await.unwrap_err();
  assert_eq!(failure.ran, Execution::Unknown, "{failure}");
}

#[tokio::test(flavor = "multi_thread")]
async fn call_without_a_key_to_a_silent_target_is_unknown() {
  let fleet = Fleet::start(options(&["deadline: 300ms"])).await.unwrap();
  for plain in &fleet.plains {
    plain.stand_in.set_faults(plain::Faults {
      swallow: true,
      ..plain::Faults::default()
    });
  }
  let call = Call {
    idempotency_key: None,
    ..booking("seat 3")
  };
  let failure = fleet.client().call(&call).await.unwrap_err();
  assert_eq!(
    (failure.ran, failure.code.as_str()),
    (Execution::Unknown, "deadline_passed")
  );
  assert_eq!(fleet.runs()["seat 3"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_host_is_named_no_more() {
  let mut fleet = Fleet::start(options(&["ticket_life: 20s"])).await.unwrap();
  let leaving = fleet.hosts[0].settings.callers;
  let others = [client_of(&fleet, 1), client_of(&fleet, 2)];
  let drain = fleet.hosts[0].host().unwrap().drain.clone();
  let mut host = fleet.hosts.remove(0);
  tokio::spawn(async move { host.stop().await });
  drain.begun().await;
  for client in others {
    let begun = Instant::now();
    while client.entries().await.unwrap().entries.contains(&leaving) {
      assert!(
        begun.elapsed() < Duration::from_secs(5),
        "the host is still named"
      );
      client.invalidate_entries();
      time::sleep(POLL).await;
    }
  }
}

/// Bookings through kills: each runs at most once, and none that was said not to run has run.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_lies_while_hosts_and_targets_are_killed() {
  let mut fleet = Fleet::start(options(&["deadline: 2s", "in_hand: 4"])).await.unwrap();
  for plain in &fleet.plains {
    plain.stand_in.set_faults(plain::Faults {
      delay_ms: 30,
      ..plain::Faults::default()
    });
  }
  let names: Vec<String> = (0..120).map(|index| format!("booking {index}")).collect();
  let calls = names.iter().enumerate().map(|(index, name)| {
    let client = client_of(&fleet, index % 3);
    let call = booking(name);
    async move {
      time::sleep(Duration::from_millis(5) * u32::try_from(index).unwrap()).await;
      client.call(&call).await
    }
  });
  let calls = tokio::spawn(future::join_all(calls));
  time::sleep(Duration::from_millis(150)).await;
  fleet.hosts[0].kill().await;
  time::sleep(Duration::from_millis(100)).await;
  fleet.hosts[0].start().await.unwrap();
  fleet.plains[0].kill().await;
  time::sleep(Duration::from_millis(100)).await;
  fleet.hosts[1].kill().await;
  let results = calls.await.unwrap();
  // A job that was sent may still be on its way to its target.
  time::sleep(Duration::from_millis(200)).await;
  let runs = fleet.runs();
  let answered = results.iter().filter(|result| result.is_ok()).count();
  assert!(answered > 40, "only {answered} bookings were answered");
  for (name, result) in names.iter().zip(results) {
    let runs = runs.get(name).copied().unwrap_or_default();
    match result {
      Ok(called) if called.status == StatusCode::CREATED => assert_eq!(runs, 1, "{name}"),
      Ok(called) => panic!("{name} was answered {}", called.status),
      Err(failure) if failure.ran == Execution::NotRun => assert_eq!(runs, 0, "{name}: {failure}"),
      Err(_) => assert!(runs <= 1, "{name} ran {runs} times"),
    }
  }
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_out_gets_no_new_work() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let tree = fleet.tree(&["east-dist"]);
  fleet.platform.stand_in.publish(Key::Settings, tree);
  eventually("a host has not heard of it", || {
    fleet
      .hosts
      .iter()
      .all(|host| host.host().unwrap().view.borrow().settings.newest_seen == 2)
  })
  .await;
  let load = drive(
    fleet.client(),
    mix(10),
    8,
    Instant::now() + Duration::from_millis(500),
  );
  let load = tokio::spawn(load);
  let mut most = 0;
  while !load.is_finished() {
    most = most.max(fleet.engines[0].stand_in.load().running);
    time::sleep(POLL).await;
  }
  let tally = load.await.unwrap();
  assert_eq!((tally.jobs, most), (tally.whole, 0));
  assert!(fleet.plains[0].stand_in.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_stops_nothing() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  fleet.platform.stand_in.set_faults(platform::Faults {
    delay_ms: 0,
    down: true,
  });
  let until = Instant::now() + Duration::from_millis(500);
  let tally = drive(fleet.client(), mix(10), 8, until).await;
  assert!(tally.jobs > 0);
  assert_eq!(tally.jobs, tally.whole, "{tally}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rewound_platform_reverts_nothing() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let first = fleet.tree(&[]);
  fleet.platform.stand_in.publish(Key::Settings, fleet.tree(&["kochi-none"]));
  let host = fleet.hosts[0].host().unwrap().clone();
  eventually("the host has not heard of it", || {
    host.view.borrow().settings.newest_seen == 2
  })
  .await;
  fleet.platform.stand_in.rewind(
    Key::Settings,
    platform::Document {
      revision: 1,
      text: first,
    },
  );
  eventually("the old document was not offered", || {
    host.metrics.stale_documents.get() > 0
  })
  .await;
  let revision = host.view.borrow().settings.accepted.as_ref().unwrap().revision;
  assert_eq!(revision, 2);
  // A platform that answers at once is not asked without pause: 3 hosts that ask
  // every 20 ms make 150 calls a second.
  let before = fleet.platform.stand_in.calls();
  time::sleep(Duration::from_secs(1)).await;
  let calls = fleet.platform.stand_in.calls() - before;
  assert!(calls < 60, "{calls} calls in a second");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_settings_leave_the_last_ones_in_force() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  fleet.platform.stand_in.publish(Key::Settings, "operator: 1\n");
  let host = fleet.hosts[0].host().unwrap().clone();
  eventually("the document was not refused", || {
    host.metrics.rejected_documents.get() == 1
  })
  .await;
  let view = host.view.borrow().clone();
  assert_eq!(view.settings.accepted.as_ref().unwrap().revision, 1);
  assert!(!view.settings.faults.is_empty());
  let (status, _) = whole(&fleet, 3).await;
  assert_eq!(status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_under_load_refuse_and_cut_nothing() {
  let overrides = ["entries_keep: 200ms", "ticket_life: 1s", "drain_bound: 1s"];
  let options = Options {
    overrides: overrides.map(Into::into).into(),
    ..Options::default()
  };
  let mut fleet = Fleet::start(options).await.unwrap();
  let until = Instant::now() + Duration::from_secs(5);
  // Long streams outlive the bound; short jobs come all the time.
  let long = tokio::spawn(drive(fleet.client(), mix(300), 12, until));
  let short = tokio::spawn(drive(fleet.client(), mix(3), 4, until));
  time::sleep(Duration::from_millis(300)).await;
  fleet.hosts[0].stop().await;
  fleet.hosts[0].start().await.unwrap();
  let list = fleet.host_list(&[1]);
  fleet.platform.stand_in.publish(Key::Hosts, list);
  eventually("the host does not leave", || {
    let host = fleet.hosts[1].host().unwrap();
    host.drain.phase(Instant::now()) > yuccarudder::drain::Phase::Serving
  })
  .await;
  for load in [long, short] {
    let tally = load.await.unwrap();
    assert_eq!(tally.jobs, tally.whole, "{tally}");
    assert_eq!(tally.out_of_order, 0);
  }
}
