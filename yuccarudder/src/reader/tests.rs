use {super::*, std::time::Duration};

fn role(hosts: usize, rank: usize) -> Role {
  Role {
    hosts,
    order: rank,
    rank,
  }
}

/// Tests the mode of a host, given its rank, the area, the age of its catalog in milliseconds
/// and whether it has listed the targets, which differ from those of the readers.
macro_rules! modes {
  ($name:ident, $rank:expr, $area:ident, $age:expr, $listed:expr, $mode:pat) => {
    #[test]
    fn $name() {
      let age: Option<u64> = $age;
      let copies = Copies {
        catalog_age: age.map(Duration::from_millis),
        targets_age: $listed.then_some(Duration::ZERO),
        targets_differ_for: Some(Duration::MAX),
        targets_valid_for: Duration::MAX,
      };
      let mode = role(75, $rank).mode(Area::$area, &copies);
      assert!(matches!(mode, $mode), "{mode:?}");
    }
  };
}

modes!(
  first_host_watches_the_operator_documents,
  0,
  Operator,
  Some(0),
  true,
  Mode::Watch(_)
);
modes!(
  later_host_is_idle_while_its_catalog_is_confirmed,
  8,
  Operator,
  Some(3_199),
  true,
  Mode::Idle(_)
);
modes!(
  later_host_watches_when_the_confirmation_is_old,
  8,
  Operator,
  Some(3_200),
  true,
  Mode::Watch(_)
);
modes!(
  later_host_watches_while_it_has_no_confirmation,
  70,
  Operator,
  None,
  false,
  Mode::Watch(_)
);
modes!(
  first_hosts_watch_the_targets,
  1,
  Targets,
  Some(0),
  true,
  Mode::Watch(_)
);
modes!(
  later_host_polls_stale_lists,
  2,
  Targets,
  Some(0),
  true,
  Mode::Poll(_)
);
modes!(
  first_list_of_a_later_host_is_current,
  2,
  Targets,
  Some(0),
  false,
  Mode::Watch(_)
);

#[test]
fn hosts_of_larger_fleets_retry_an_unavailable_platform_less_often() {
  let max = |hosts, rank| role(hosts, rank).max_backoff();
  assert_eq!(max(6, 4), max(75, 4));
  assert!(max(75, 5) > 9 * max(75, 4));
  let min = |hosts, rank| role(hosts, rank).min_backoff();
  assert_eq!(min(6, 4), min(75, 4));
  assert!(min(75, 5) > 9 * min(75, 4));
}

/// Tests whether a host polls the engines, given its rank, whether its last request to the
/// platform failed, and the milliseconds since the last response.
macro_rules! polls_engines {
  ($name:ident, $rank:expr, $failed:expr, $since_response:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let since_response = Duration::from_millis($since_response);
      assert_eq!(
        role(75, $rank).polls_engines($failed, since_response),
        $expected
      );
    }
  };
}

polls_engines!(engines_are_polled_after_a_failure, 0, true, 10, true);
polls_engines!(
  engines_are_polled_when_the_platform_is_unresponsive,
  0,
  false,
  620,
  true
);
polls_engines!(
  engines_are_not_polled_during_a_regular_watch,
  0,
  false,
  619,
  false
);
polls_engines!(
  second_reader_allows_for_its_longer_pause,
  1,
  false,
  620,
  false
);
polls_engines!(
  hosts_that_do_not_read_the_targets_poll_no_engines,
  2,
  true,
  9_000,
  false
);

const fn ms(milliseconds: u64) -> Duration {
  Duration::from_millis(milliseconds)
}

#[test]
fn first_era_of_a_process_is_no_restore() {
  let mut era = Era::default();
  assert_eq!(era.observe(4, ms(0)), Relation::Current);
  assert_eq!(era.restore_age(ms(0)), None);
  assert!(era.is_complete(ms(0)));
}

#[test]
fn late_responses_of_an_earlier_era_are_outdated() {
  let mut era = Era::default();
  era.observe(1, ms(0));
  assert_eq!(era.observe(2, ms(10)), Relation::Restored);
  assert_eq!(era.observe(1, ms(20)), Relation::Outdated);
  assert_eq!(era.observe(2, ms(30)), Relation::Current);
  assert_eq!(era.number(), Some(2));
}

#[test]
fn reads_prove_nothing_until_lost_writes_are_repeated() {
  let mut era = Era::default();
  era.observe(1, ms(0));
  era.observe(2, ms(10_000));
  // Requested before the restore was known, and in the rewrite period.
  assert!(!era.is_complete(ms(9_000)));
  assert!(!era.is_complete(ms(11_999)));
  assert!(era.is_complete(ms(12_000)));
}

#[test]
fn second_restore_begins_another_rewrite_period() {
  let mut era = Era::default();
  era.observe(1, ms(0));
  era.observe(2, ms(1_000));
  era.observe(3, ms(2_500));
  assert!(!era.is_complete(ms(4_000)));
  assert!(era.is_complete(ms(4_500)));
}

#[test]
fn process_that_started_after_a_restore_learns_of_it_from_other_hosts() {
  let mut era = Era::default();
  era.observe(2, ms(500));
  era.observe_restore(ms(300), ms(1_000));
  assert_eq!(era.restore_age(ms(1_000)), Some(ms(300)));
  assert!(!era.is_complete(ms(2_600)));
  // The age grows with each host that passes it on, so it ends for all.
  assert_eq!(era.restore_age(ms(2_700)), None);
  era.observe_restore(ms(1_990), ms(2_710));
  assert!(era.is_complete(ms(2_710)));
}

/// Tests how a host that does not read the targets for the others reads them, given the age of
/// its list and for how long its targets have differed from those of the readers, in milliseconds.
macro_rules! lists_targets {
  ($name:ident, $age:expr, $differ_for:expr, $mode:pat) => {
    #[test]
    fn $name() {
      let copies = Copies {
        catalog_age: None,
        targets_age: Some(ms($age)),
        targets_differ_for: Option::<u64>::map($differ_for, ms),
        targets_valid_for: Duration::MAX,
      };
      let mode = role(300, 7).mode(Area::Targets, &copies);
      assert!(matches!(mode, $mode), "{mode:?}");
    }
  };
}

lists_targets!(matching_targets_are_not_listed, 45_000, None, Mode::Idle(_));
lists_targets!(
  matching_targets_are_listed_from_time_to_time,
  135_000,
  None,
  Mode::Poll(_)
);
lists_targets!(
  news_of_the_readers_is_awaited,
  0,
  Some(1_499),
  Mode::Idle(_)
);
lists_targets!(missed_news_is_listed, 0, Some(1_500), Mode::Poll(_));

/// The platform refuses most hosts for seconds, and each host sees others that still read it.
#[test]
fn hosts_that_fail_to_read_neither_poll_engines_nor_retry_like_readers() {
  let failing = |order| Role {
    hosts: 300,
    order,
    rank: 0,
  };
  let polling = (0..300).filter(|order| failing(*order).polls_engines(true, Duration::ZERO));
  assert_eq!(polling.count(), 2);
  let calls_per_s: f64 =
    (0..300).map(|order| 1.0 / failing(order).max_backoff().as_secs_f64()).sum();
  assert!(calls_per_s < 25.0, "{calls_per_s}");
}

/// Tests how a host that does not read the targets for the others reads them, given the milliseconds for
/// which it may still use what it knows.
macro_rules! unconfirmed_targets {
  ($name:ident, $valid_for:expr, $differ_for:expr, $mode:expr) => {
    #[test]
    fn $name() {
      let copies = Copies {
        catalog_age: None,
        targets_age: Some(ms(0)),
        targets_differ_for: Option::<u64>::map($differ_for, ms),
        targets_valid_for: ms($valid_for),
      };
      assert_eq!(role(75, 7).mode(Area::Targets, &copies), $mode);
    }
  };
}

unconfirmed_targets!(
  targets_that_no_host_confirmed_are_refreshed,
  0,
  None,
  Mode::Refresh(ms(250))
);
unconfirmed_targets!(
  host_idles_no_longer_than_its_targets_are_valid,
  90,
  None,
  Mode::Idle(ms(90))
);
unconfirmed_targets!(
  host_polls_no_longer_than_its_targets_are_valid,
  400,
  Some(1_500),
  Mode::Poll(ms(400))
);

#[test]
fn targets_are_valid_for_less_than_leaving_ones_serve() {
  assert_eq!(targets_valid_for(ms(3_000), Some(ms(400))), ms(2_100));
  assert_eq!(targets_valid_for(ms(3_000), Some(ms(2_500))), ms(0));
  assert_eq!(targets_valid_for(ms(300), Some(ms(0))), ms(0));
  assert_eq!(targets_valid_for(ms(3_000), None), ms(0));
}

/// Lists of the targets in a fleet whose hosts started together and whose targets match those of
/// the readers.
struct SettledFleet {
  /// Number of lists by all hosts in each second.
  per_second: Vec<usize>,
  /// Longest time between two lists of one host.
  longest_gap: Duration,
}

impl SettledFleet {
  fn simulate(hosts: usize) -> Self {
    let duration = ms(300_000);
    let mut per_second = vec![0; 300];
    let mut longest_gap = Duration::ZERO;
    for order in 2..hosts {
      let role = Role {
        hosts,
        order,
        rank: order,
      };
      let mut listed_at = Duration::ZERO;
      let mut now = Duration::ZERO;
      while now < duration {
        let copies = Copies {
          catalog_age: Some(Duration::ZERO),
          targets_age: Some(now - listed_at),
          targets_differ_for: None,
          targets_valid_for: Duration::MAX,
        };
        match role.mode(Area::Targets, &copies) {
          Mode::Poll(_) => {
            per_second[now.as_secs() as usize] += 1;
            longest_gap = longest_gap.max(now - listed_at);
            listed_at = now;
          }
          Mode::Idle(pause) => now += pause,
          Mode::Refresh(_) | Mode::Watch(_) => {
            panic!("host {order} of {hosts} reads the current targets")
          }
        }
      }
    }
    Self {
      per_second,
      longest_gap,
    }
  }
}

/// Largest number of lists of the targets by all hosts of a settled fleet in one second, and on the
/// mean.
const MAX_LISTS: usize = 8;
const MAX_MEAN_LISTS: f64 = 4.0;

/// Tests the lists of the targets in a settled fleet of a size, given the longest time in seconds
/// without one on a host.
macro_rules! settled_fleets {
  ($name:ident, $hosts:expr, $gap:expr) => {
    #[test]
    fn $name() {
      let fleet = SettledFleet::simulate($hosts);
      let mean = fleet.per_second.iter().sum::<usize>() as f64 / 300.0;
      let most = *fleet.per_second.iter().max().unwrap();
      assert!(mean <= MAX_MEAN_LISTS, "{mean} a second");
      assert!(most <= MAX_LISTS, "{most} in one second");
      assert!(
        fleet.longest_gap <= ms($gap * 1_000),
        "{:?}",
        fleet.longest_gap
      );
    }
  };
}

settled_fleets!(lists_of_six_hosts, 6, 15);
settled_fleets!(lists_of_75_hosts, 75, 35);
settled_fleets!(lists_of_295_hosts, 295, 135);
settled_fleets!(lists_of_1000_hosts, 1000, 451);
