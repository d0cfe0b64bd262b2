use {
  super::*,
  crate::{placement::Load, roster::Key, routing::Engine, span},
  proptest::prelude::*,
  slotmap::SlotMap,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

fn engine() -> Engine {
  Engine {
    tokens_per_event: 4,
    link_bytes_per_second: 3e9,
    kv_cache_tokens: 34_000,
    relocatable: true,
    slots: 24,
    kv_bytes_per_token: 163_840.0,
  }
}

const RUN: Run = Run {
  cached_tokens: 3_600,
  peak_tokens: 4_000,
};

/// Engines in three data centres, each with its load.
struct Cluster {
  engines: Vec<(Key, &'static str, Load)>,
}

impl Cluster {
  fn new(loads: &[u64]) -> Self {
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    let data_centres = ["east", "north", "west"];
    let engines = loads.iter().enumerate().map(|(index, tokens)| {
      let load = Load {
        requests: u32::try_from(tokens / 4_000).unwrap(),
        expected_tokens: *tokens,
        ..Load::default()
      };
      (keys.insert(()), data_centres[index % 3], load)
    });
    Self {
      engines: engines.collect(),
    }
  }

  fn candidates(&self) -> impl Iterator<Item = Candidate<'static>> + '_ {
    self.engines.iter().map(|(key, data_centre, load)| Candidate {
      data_centre,
      key: *key,
      load: *load,
      penalty: Duration::ZERO,
    })
  }

  fn data_centre(&self, key: Key) -> &'static str {
    self.engines.iter().find(|engine| engine.0 == key).unwrap().1
  }
}

fn source(fingerprint: u64, data_centre: &'static str, runs: u32) -> Source<'static> {
  Source {
    data_centre,
    cached_tokens: RUN.cached_tokens * u64::from(runs),
    fingerprint,
    runs,
    peak_tokens: RUN.peak_tokens * u64::from(runs),
  }
}

fn plans(cluster: &Cluster, sources: &[Source<'static>]) -> Vec<(Position, Plan)> {
  let engine = engine();
  let positions = sources.iter().flat_map(|source| {
    (0..source.runs).map(|index| Position {
      index,
      fingerprint: source.fingerprint,
    })
  });
  let plans = positions.filter_map(|position| {
    let plan = plan(&engine, sources, cluster.candidates(), position, RUN)?;
    Some((position, plan))
  });
  plans.collect()
}

/// Guards against copies that collide on a link when three of eighteen engines leave at
/// once with five runs each, since hosts plan without knowing each other's choices.
#[test]
fn three_engines_leave_at_once() {
  let cluster = Cluster::new(&[12_000; 15]);
  let sources = [
    source(1, "east", 5),
    source(2, "east", 5),
    source(3, "north", 5),
  ];
  let plans = plans(&cluster, &sources);
  assert_eq!(plans.len(), 15);
  let mut by_destination: HashMap<Key, Vec<Plan>> = HashMap::new();
  for (_, plan) in &plans {
    by_destination.entry(plan.destination).or_default().push(plan.clone());
  }
  for copies in by_destination.values_mut() {
    copies.sort_by_key(|copy| copy.start);
    assert!(
      copies.windows(2).all(|pair| pair[0].end <= pair[1].start),
      "{copies:?}"
    );
  }
  // All copies end within the notice period that is assumed by default.
  let window = Window::default();
  assert!(plans.iter().all(|(_, plan)| window.request_at(plan).is_some()));
}

#[test]
fn run_stays_in_its_data_centre_if_the_link_is_free() {
  let cluster = Cluster::new(&[4_000; 6]);
  let plans = plans(&cluster, &[source(1, "west", 1)]);
  assert_eq!(cluster.data_centre(plans[0].1.destination), "west");
}

/// Guards against runs that are copied to an engine at which they are likely to pause for too long, although another
/// one can take them slightly later.
#[test]
fn run_goes_where_it_risks_less() {
  let cluster = Cluster::new(&[4_000, 4_000]);
  let copies = |penalty| {
    let candidates = cluster.candidates().enumerate().map(|(index, candidate)| Candidate {
      penalty: if index == 0 { penalty } else { Duration::ZERO },
      ..candidate
    });
    let position = Position {
      index: 0,
      fingerprint: 1,
    };
    let plan = plan(
      &engine(),
      &[source(1, "east", 1)],
      candidates,
      position,
      RUN,
    )
    .unwrap();
    cluster.data_centre(plan.destination)
  };
  assert_eq!(copies(Duration::ZERO), "east");
  // The copy to the other data centre takes 200 ms longer and delays the next one by as much.
  assert_eq!(copies(Duration::from_millis(300)), "east");
  assert_eq!(copies(Duration::from_millis(500)), "north");
}

#[test]
fn full_engines_take_no_run() {
  let cluster = Cluster::new(&[31_000, 31_000, 31_000]);
  assert_eq!(plans(&cluster, &[source(1, "east", 1)]), []);
}

#[test]
fn run_beyond_the_known_load_is_planned_after_the_others() {
  let cluster = Cluster::new(&[4_000; 6]);
  let position = Position {
    index: 4,
    fingerprint: 1,
  };
  let engine = engine();
  let plan = plan(
    &engine,
    &[source(1, "east", 2)],
    cluster.candidates(),
    position,
    RUN,
  )
  .unwrap();
  assert!(plan.start >= engine.transfer_time(2 * RUN.cached_tokens));
}

/// Tests when a copy is requested that is planned to start at 500 ms. Takes the end of the
/// copy, the notice period if known, and the expected time, all in milliseconds.
macro_rules! request_times {
  ($name:ident, $end:expr, $notice:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let ms = Duration::from_millis;
      let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
      let plan = Plan {
        destination: keys.insert(()),
        end: ms($end),
        start: ms(500),
      };
      let notice: Option<u64> = $notice;
      let window = Window {
        notice: notice.map(ms),
      };
      let expected: Option<u64> = $expected;
      assert_eq!(window.request_at(&plan), expected.map(ms));
    }
  };
}

request_times!(
  copy_is_requested_before_its_planned_start,
  700,
  None,
  Some(200)
);
request_times!(unknown_notice_is_assumed_to_be_long, 1_960, None, Some(200));
request_times!(
  copy_that_exceeds_the_assumed_notice_is_not_requested,
  1_961,
  None,
  None
);
request_times!(
  copy_that_exceeds_the_known_notice_is_not_requested,
  1_661,
  Some(1_700),
  None
);
request_times!(
  copy_may_end_just_before_the_resume_time,
  1_660,
  Some(1_700),
  Some(200)
);
request_times!(
  copy_may_end_early_in_a_longer_notice,
  1_600,
  Some(2_100),
  Some(200)
);

proptest! {
  /// Guards against two copies on the same link at the same time, whatever the loads are.
  #[test]
  fn copies_never_overlap_on_a_link(
    loads in prop::collection::vec(0_u64..34_000, 1..20),
    runs in prop::collection::vec(0_u32..9, 1..5),
  ) {
    let cluster = Cluster::new(&loads);
    let sources: Vec<Source<'static>> =
      (1..).zip(&runs).map(|(fingerprint, runs)| source(fingerprint, "east", *runs)).collect();
    let plans = plans(&cluster, &sources);
    for (index, (position, plan)) in plans.iter().enumerate() {
      for (other_position, other) in &plans[index + 1..] {
        let shares_link = position.fingerprint == other_position.fingerprint || plan.destination == other.destination;
        prop_assert!(!shares_link || plan.end <= other.start || other.end <= plan.start);
      }
    }
  }
}

/// Guards against times and sizes of engines that end the task which reads them.
#[test]
fn any_report_of_an_engine_gives_times_in_range() {
  let now = Instant::now();
  assert!(leaves_at(Duration::MAX, now) > now);
  for (kv_bytes_per_token, link_bytes_per_second) in [
    (-1.0, 1.0),
    (f64::MAX, f64::MIN_POSITIVE),
    (f64::NAN, 1.0),
    (0.0, f64::INFINITY),
  ] {
    let engine = Engine {
      kv_bytes_per_token,
      link_bytes_per_second,
      ..engine()
    };
    assert!(engine.transfer_time(u64::MAX) <= span::MAX);
  }
}
