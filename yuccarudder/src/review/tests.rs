use {
  super::*,
  crate::routing::{Account, CallerLimits, Definition, Destination, Engine, Kind, Route, Service},
  std::time::Duration,
  yare::parameterized,
};

fn route(name: &str, prefix: &str, service: &str) -> (String, Route) {
  let route = Route {
    max_runs: 2,
    kind: Kind::Stream { resumable: true },
    latency_objective: Duration::from_millis(1_800),
    name: name.into(),
    pause_objective: Duration::from_millis(180),
    prefix: prefix.into(),
    priority: 0,
    public: false,
    destinations: vec![Destination {
      service: service.into(),
      weight: 1,
    }],
    timeout: Duration::from_secs(60),
  };
  ("a.example".into(), route)
}

fn account(name: &str, credential: &str) -> Account {
  Account {
    credentials: vec![credential.into()],
    name: name.into(),
    priority: None,
  }
}

fn sound() -> Definition {
  Definition {
    accounts: Some(vec![
      account("club", "secret-1"),
      account("inn", "secret-2"),
    ]),
    limits: CallerLimits {
      max_body_bytes: 100_000,
    },
    routes: vec![
      route("plan", "/plan/", "llm"),
      route("sort", "/sort/", "llm"),
    ],
    services: vec![Service {
      cold_start_rate: None,
      engine: Some(Engine {
        tokens_per_event: 4,
        link_bytes_per_second: 1e9,
        kv_cache_tokens: 34_000,
        relocatable: true,
        slots: 24,
        kv_bytes_per_token: 1e3,
      }),
      health_path: "/".into(),
      name: "llm".into(),
    }],
    version: 7,
  }
}

fn texts(findings: &[Finding]) -> Vec<String> {
  findings.iter().map(Finding::to_string).collect()
}

/// Guards against findings in a sound catalog, which would make operators ignore them.
#[test]
fn sound_catalog_has_no_findings() {
  assert_eq!(texts(&check(&sound())), [""; 0]);
  let mut next = sound();
  next.version = 8;
  assert_eq!(texts(&compare(&sound(), &next)), [""; 0]);
}

/// Guards against faults that are not found, and findings that show credentials.
#[parameterized(
  same_prefix = { |it| it.routes[1] = route("sort", "/plan/", "llm"),
    "error: route \"sort\": it never matches, as route \"plan\" has the same host name and prefix" },
  same_prefix_in_other_case = { |it| {
    it.routes[1] = route("sort", "/plan/", "llm");
    it.routes[1].0 = "A.Example".into();
  }, "error: route \"sort\": it never matches, as route \"plan\" has the same host name and prefix" },
  no_first_slash = { |it| it.routes[1].1.prefix = "sort/".into(),
    "error: route \"sort\": the prefix \"sort/\" does not begin and end with a slash" },
  no_last_slash = { |it| it.routes[1].1.prefix = "/sort".into(),
    "error: route \"sort\": the prefix \"/sort\" does not begin and end with a slash" },
  host_name_with_port = { |it| it.routes[1].0 = "a.example:80".into(),
    "error: route \"sort\": it never matches, as \"a.example:80\" is not a host name" },
  wildcard = { |it| it.routes[1].0 = "*.example".into(),
    "error: route \"sort\": it never matches, as \"*.example\" is not a host name" },
  same_route_name = { |it| it.routes[1].1.name = "plan".into(),
    "warning: route \"plan\": an earlier route has the same name; their statistics are shared" },
  no_service = { |it| it.routes[1] = route("sort", "/sort/", "lm"),
    "error: route \"sort\": there is no service \"lm\"" },
  no_destination = { |it| it.routes[1].1.destinations.clear(),
    "error: route \"sort\": no service gets its requests" },
  weight_of_zero = { |it| {
    let destination = Destination { service: "llm".into(), weight: 0 };
    it.routes[1].1.destinations.push(destination);
  }, "warning: route \"sort\": service \"llm\" gets no requests, as its weight is 0" },
  latency_above_timeout = { |it| it.routes[1].1.latency_objective = Duration::from_secs(61),
    "error: route \"sort\": the latency objective of 61s is above the timeout of 60s" },
  pause_above_timeout = { |it| it.routes[1].1.pause_objective = Duration::from_secs(61),
    "error: route \"sort\": the pause objective of 61s is above the timeout of 60s" },
  no_timeout = { |it| it.routes[1].1.timeout = Duration::ZERO,
    "error: route \"sort\": its timeout is zero" },
  pause_without_stream = { |it| it.routes[1].1.kind = Kind::Idempotent,
    "warning: route \"sort\": the pause objective has no effect, as its responses are not streams" },
  fewer_tokens_than_slots = { |it| it.services[0].engine.as_mut().unwrap().kv_cache_tokens = 23,
    "error: service \"llm\": its engines have 23 KV tokens for 24 concurrent requests" },
  no_slots = { |it| it.services[0].engine.as_mut().unwrap().slots = 0,
    "error: service \"llm\": its engines run no requests, as their capacity is 0" },
  unused_service = { |it| {
    let unused = Service { name: "spare".into(), ..it.services[0].clone() };
    it.services.push(unused);
  }, "warning: service \"spare\": no route leads to it" },
  same_service = { |it| it.services.push(it.services[0].clone()),
    "error: service \"llm\": an earlier service has the same name" },
  same_credential = { |it| it.accounts = Some(vec![account("club", "secret"), account("inn", "secret")]),
    "error: account \"inn\": it has a credential of account \"club\"" },
  credential_twice = { |it| it.accounts.as_mut().unwrap()[0].credentials.push("secret-1".into()),
    "warning: account \"club\": it lists a credential more than once" },
  empty_credential = { |it| it.accounts = Some(vec![account("club", " ")]),
    "error: account \"club\": a credential is empty" },
  no_credential = { |it| it.accounts.as_mut().unwrap()[0].credentials.clear(),
    "warning: account \"club\": it has no credential" },
  same_account = { |it| it.accounts.as_mut().unwrap()[1].name = "club".into(),
    "error: account \"club\": an earlier account has the same name" },
  no_body = { |it| it.limits.max_body_bytes = 0,
    "error: limits: no body is allowed, as max_body_bytes is 0" },
)]
fn fault_is_found(change: fn(&mut Definition), expected: &str) {
  let mut definition = sound();
  change(&mut definition);
  let found = texts(&check(&definition));
  assert_eq!(found, [expected]);
  assert!(!found[0].contains("secret"));
}

/// Guards against differences that are not shown, and credentials that are.
#[test]
fn differences_are_shown_without_credentials() {
  let mut next = sound();
  next.version = 7;
  next.limits.max_body_bytes = 5;
  next.routes[0].1.timeout = Duration::from_secs(30);
  next.routes[0].1.destinations[0].weight = 2;
  next.routes[1] = route("list", "/list/", "llm");
  next.services[0].cold_start_rate = Some(2.0);
  next.accounts = Some(vec![
    account("club", "secret-3"),
    account("spa", "secret-4"),
  ]);
  let expected = [
    "error: version: 7 is not above 7, which is in force",
    "change: route \"a.example/list/\": added",
    "change: route \"a.example/plan/\": services [(\"llm\", 1)] -> [(\"llm\", 2)], timeout 60s -> 30s",
    "change: route \"a.example/sort/\": removed",
    "change: service \"llm\": cold start rate None -> Some(2.0)",
    "change: account \"club\": credentials: 1 added, 1 removed",
    "change: account \"spa\": added",
    "change: account \"inn\": removed",
    "change: limits: max_body_bytes 100000 -> 5",
  ];
  let found = texts(&compare(&sound(), &next));
  assert_eq!(found, expected);
  assert!(found.iter().all(|text| !text.contains("secret")));
  next = sound();
  next.version = 8;
  next.accounts = None;
  assert!(
    texts(&compare(&sound(), &next))
      .contains(&"change: accounts: requests need no credential any more".into())
  );
}
