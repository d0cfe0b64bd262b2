use {super::*, crate::refusal::Reason, proptest::prelude::*, std::time::Duration};

const LIMITS: AgeLimits = AgeLimits {
  denial: Duration::from_secs(2),
  revocation: Duration::from_millis(4750),
};

fn route(name: &str, prefix: &str, public: bool) -> Route {
  Route {
    max_runs: 1,
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

/// Defines a test from an authority, a path and the name of the expected route.
macro_rules! matches_route {
  ($name:ident, $authority:expr, $path:expr, $route:expr) => {
    #[test]
    fn $name() {
      let catalog = catalog();
      let route =
        catalog.match_route($authority, $path).map(|key| catalog.routes[key].name.as_str());
      assert_eq!(route, $route);
    }
  };
}

matches_route!(unknown_host_name, "b.example", "/x/", None);
matches_route!(host_name_with_port, "a.example:8740", "/x/1", Some("short"));
matches_route!(
  host_name_in_upper_case,
  "A.EXAMPLE",
  "/open/1",
  Some("open")
);
matches_route!(longest_prefix, "a.example", "/x/y/z", Some("long"));
matches_route!(no_matching_route, "a.example", "/z/", None);
matches_route!(prefix_ends_at_a_slash, "a.example", "/xy", None);

/// Defines a test from the age of the catalog in milliseconds, the credential, the path and the
/// expected result.
macro_rules! admits {
  ($name:ident, $age:expr, $credential:expr, $path:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let age: Option<u64> = $age;
      let attributes = Attributes {
        age: age.map(Duration::from_millis),
        authority: "a.example",
        credential: $credential,
        path: $path,
      };
      let catalog = catalog();
      let result =
        admit(&catalog, &attributes, &LIMITS).map(|_| ()).map_err(|refusal| refusal.reason);
      assert_eq!(result, $expected);
    }
  };
}

admits!(fresh_credential, Some(100), Some("key"), "/x/", Ok(()));
admits!(
  credential_just_below_the_age_limit,
  Some(4749),
  Some("key"),
  "/x/",
  Ok(())
);
admits!(
  credential_that_may_have_been_revoked,
  Some(4750),
  Some("key"),
  "/x/",
  Err(Reason::CutOff)
);
admits!(
  catalog_never_confirmed,
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
  credential_that_may_have_been_added,
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
  route_that_may_have_been_added,
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
fn requests_are_split_by_weight() {
  let route = route("r", "/", false);
  let green = (0..1000).filter(|hash| route.choose_service(*hash) == Some("green")).count();
  assert_eq!(green, 100);
}

#[test]
fn route_without_destinations_has_no_service() {
  let route = Route {
    destinations: Vec::new(),
    ..route("r", "/", false)
  };
  assert_eq!(route.choose_service(7), None);
}

#[test]
fn older_confirmation_is_ignored() {
  let mut freshness = Freshness::default();
  freshness.confirm(Duration::from_secs(10));
  freshness.confirm(Duration::from_secs(8));
  let now = Duration::from_secs(12);
  assert_eq!(freshness.age(now), Some(Duration::from_secs(2)));
  assert!(!freshness.is_younger_than(Duration::from_secs(2), now));
}

/// Catalogs are published once a second: version `n` at second `n`. Each step is the time of an
/// event in milliseconds and either the delay of a read, or none for a catalog that another host
/// sends, which confirms nothing.
fn events() -> impl Strategy<Value = Vec<(u64, Option<u64>)>> {
  prop::collection::vec((0..20_000_u64, prop::option::of(0..3_000_u64)), 1..40)
}

proptest! {
  /// A confirmation states that no version above the active one had been published by then,
  /// whichever catalogs became active since.
  #[test]
  fn active_catalog_is_never_older_than_its_confirmation(mut events in events()) {
    events.sort_unstable();
    let mut freshness = Freshness::default();
    let mut active = 0;
    for (at, read_delay) in events {
      let requested_at = read_delay.map(|delay| at.saturating_sub(delay));
      // A read returns a version from between its request and its response.
      let version = requested_at.map_or(at, |requested_at| requested_at.midpoint(at)) / 1_000;
      if version < active {
        continue;
      }
      active = version;
      if let Some(requested_at) = requested_at {
        freshness.confirm(Duration::from_millis(requested_at));
      }
      let now = Duration::from_millis(at);
      if let Some(age) = freshness.age(now) {
        let published = u64::try_from((now - age).as_millis()).unwrap() / 1_000;
        prop_assert!(active >= published);
      }
    }
  }
}
