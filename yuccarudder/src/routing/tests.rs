use {super::*, crate::refusal::Reason, std::time::Duration};

const BOUNDS: AgeLimits = AgeLimits {
  denial: Duration::from_secs(2),
  revocation: Duration::from_millis(4750),
};

fn route(name: &str, prefix: &str, public: bool) -> Route {
  Route {
    attempt_limit: 1,
    kind: Kind::Idempotent,
    latency_objective: Duration::from_millis(150),
    name: name.into(),
    pause_objective: Duration::ZERO,
    prefix: prefix.into(),
    priority: 0,
    public,
    destinations: vec![
      Destination {
        service: "blue".into(),
        weight: 9,
      },
      Destination {
        service: "green".into(),
        weight: 1,
      },
    ],
    timeout: Duration::from_secs(1),
  }
}

fn catalog() -> Catalog {
  Catalog::new(Definition {
    accounts: Some(vec![Account {
      credentials: vec!["key".into()],
      name: "club".into(),
      priority: None,
    }]),
    limits: CallerLimits {
      max_body_bytes: 1 << 20,
    },
    routes: vec![
      ("a.example".into(), route("short", "/x/", false)),
      ("a.example".into(), route("long", "/x/y/", false)),
      ("A.Example".into(), route("open", "/open/", true)),
    ],
    services: Vec::new(),
    version: 3,
  })
}

/// Names a case: authority, path and the name of the route.
macro_rules! routes {
  ($name:ident, $authority:expr, $path:expr, $route:expr) => {
    #[test]
    fn $name() {
      let catalog = catalog();
      let route = catalog.route($authority, $path).map(|key| catalog.routes[key].name.as_str());
      assert_eq!(route, $route);
    }
  };
}

routes!(another_host, "b.example", "/x/", None);
routes!(host_with_port, "a.example:8740", "/x/1", Some("short"));
routes!(host_in_capitals, "A.EXAMPLE", "/open/1", Some("open"));
routes!(longest_prefix, "a.example", "/x/y/z", Some("long"));
routes!(no_route, "a.example", "/z/", None);
routes!(prefix_ends_at_a_slash, "a.example", "/xy", None);

/// Names a case: age of the catalog in milliseconds, credential, path and the outcome.
macro_rules! admits {
  ($name:ident, $age:expr, $credential:expr, $path:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let age: Option<u64> = $age;
      let arrival = Attributes {
        age: age.map(Duration::from_millis),
        authority: "a.example",
        credential: $credential,
        path: $path,
      };
      let catalog = catalog();
      let admitted =
        admit(&catalog, &arrival, &BOUNDS).map(|_| ()).map_err(|refusal| refusal.reason);
      assert_eq!(admitted, $expected);
    }
  };
}

admits!(fresh_credential, Some(100), Some("key"), "/x/", Ok(()));
admits!(
  credential_just_within_the_bound,
  Some(4749),
  Some("key"),
  "/x/",
  Ok(())
);
admits!(
  credential_that_may_be_revoked,
  Some(4750),
  Some("key"),
  "/x/",
  Err(Reason::CutOff)
);
admits!(
  never_confirmed,
  None,
  Some("key"),
  "/x/",
  Err(Reason::CutOff)
);
admits!(
  unknown_credential,
  Some(100),
  Some("no"),
  "/x/",
  Err(Reason::Unauthorized)
);
admits!(
  credential_that_may_be_new,
  Some(2000),
  Some("no"),
  "/x/",
  Err(Reason::CutOff)
);
admits!(
  no_credential,
  Some(100),
  None,
  "/x/",
  Err(Reason::Unauthorized)
);
admits!(
  unknown_route,
  Some(100),
  Some("key"),
  "/z/",
  Err(Reason::NotFound)
);
admits!(
  route_that_may_be_new,
  Some(2000),
  Some("key"),
  "/z/",
  Err(Reason::CutOff)
);
admits!(
  public_route_at_any_age,
  Some(60_000),
  None,
  "/open/",
  Ok(())
);

#[test]
fn shares_follow_their_weights() {
  let route = route("r", "/", false);
  let green = (0..1000).filter(|pick| route.choose_service(*pick) == Some("green")).count();
  assert_eq!(green, 100);
}

#[test]
fn route_without_weight_has_no_service() {
  let route = Route {
    destinations: Vec::new(),
    ..route("r", "/", false)
  };
  assert_eq!(route.choose_service(7), None);
}

#[test]
fn confirmations_do_not_go_back() {
  let mut freshness = Freshness::default();
  freshness.confirm(Duration::from_secs(10));
  freshness.confirm(Duration::from_secs(8));
  let now = Duration::from_secs(12);
  assert_eq!(freshness.age(now), Some(Duration::from_secs(2)));
  assert!(!freshness.is_within(Duration::from_secs(2), now));
}

#[test]
fn another_catalog_has_its_own_confirmation() {
  let mut freshness = Freshness::default();
  freshness.confirm(Duration::from_secs(10));
  freshness.restart(None);
  assert_eq!(freshness.age(Duration::from_secs(12)), None);
}
