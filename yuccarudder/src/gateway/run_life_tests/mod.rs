//! A model of a run's life over hosts and targets: it begins, moves, is lost, resumed or cancelled, and ends.
//! The hosts are real but for their heartbeats' way and their reads of the platform's store; time is virtual.

mod caller;
mod fleet;
mod host;
mod log;
mod target;
mod world;

use {
  caller::Kind,
  proptest::prelude::*,
  proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
  std::{net::SocketAddr, time::Duration},
  tokio::net::TcpListener,
  world::World,
};

/// Number of cases of a run with the default of `proptest`.
const CASES: u32 = 24;

/// How many hosts and places there are, and how long engines take at first.
#[derive(Clone, Debug)]
struct Site {
  /// Time for a copy of a run.
  copy_ms: u64,
  engines: usize,
  hosts: usize,
  /// Places of each target.
  slots: u32,
}

/// What happens at one moment. Numbers that choose a run, a target or a host are taken modulo their count.
#[derive(Clone, Copy, Debug)]
enum Event {
  /// A caller sends a request for an answer of so many pieces, with or without a length or chunks.
  Begin {
    host: usize,
    kind: Kind,
    is_framed: bool,
    pieces: u64,
  },
  /// The target of a run is killed; the kernel closes its connections.
  Crash { run: usize },
  /// The two directions between two hosts lose all heartbeats, or no longer.
  CutHosts { host: usize },
  /// A host loses its links to the targets, which go on with its runs, or finds them again.
  CutLinks { host: usize },
  /// A host ends with its requests in hand.
  EndHost { host: usize },
  /// The process of a host is frozen, or runs again.
  FreezeHost { host: usize },
  /// The process of a host is killed; the kernel closes its connections.
  KillHost { host: usize },
  /// The target of a run begins to leave, and ends after a notice.
  Leave { run: usize, notice_ms: u64 },
  /// A target that does not run it begins to leave.
  LeaveElsewhere { run: usize, notice_ms: u64 },
  /// The caller of a run goes away.
  LeaveCaller { run: usize },
  /// The answer of a run is lost; the run goes on.
  LoseAnswer { run: usize },
  /// The answer of the next run is lost before its head; the run goes on.
  LoseNextAnswer,
  /// Targets that have ended start again, under other IDs.
  RestartTargets,
  /// Hosts that have ended start again.
  RestartHosts,
  /// Copies and reports of engines take so long from now on.
  Slow { copy_ms: u64, report_ms: u64 },
}

/// An event and the time until the next one.
#[derive(Clone, Copy, Debug)]
struct Step {
  event: Event,
  pause_ms: u64,
}

/// Chooses a time for copies; the longest is longer than requests may be sent to a target that leaves.
fn copy_ms() -> impl Strategy<Value = u64> {
  prop::sample::select(vec![20_u64, 400, 2_800])
}

struct Model;

impl ReferenceStateMachine for Model {
  type State = Site;
  type Transition = Step;

  fn init_state() -> BoxedStrategy<Site> {
    let sites = (copy_ms(), 2_usize..=3, 2_usize..=3, 1_u32..=2);
    let site = |(copy_ms, engines, hosts, slots)| Site {
      copy_ms,
      engines,
      hosts,
      slots,
    };
    sites.prop_map(site).boxed()
  }

  fn transitions(_: &Site) -> BoxedStrategy<Step> {
    let host = 0_usize..3;
    let run = 0_usize..4;
    let kind = prop_oneof![
      5 => Just(Kind::Resumable),
      1 => Just(Kind::Unrepeatable),
      1 => Just(Kind::Booking),
      1 => Just(Kind::Lookup),
    ];
    let pieces = prop_oneof![4_u64..20, 40_u64..160];
    let notice_ms = prop::sample::select(vec![1_000_u64, 3_000, 6_000]);
    let begin = (host.clone(), kind, any::<bool>(), pieces);
    let begin = begin.prop_map(|(host, kind, is_framed, pieces)| Event::Begin {
      host,
      kind,
      is_framed,
      pieces,
    });
    let leave = (run.clone(), notice_ms);
    let slow = (copy_ms(), prop::sample::select(vec![0_u64, 250]));
    let event = prop_oneof![
      8 => begin,
      2 => run.clone().prop_map(|run| Event::Crash { run }),
      1 => host.clone().prop_map(|host| Event::CutHosts { host }),
      1 => host.clone().prop_map(|host| Event::CutLinks { host }),
      1 => host.clone().prop_map(|host| Event::EndHost { host }),
      1 => host.clone().prop_map(|host| Event::FreezeHost { host }),
      1 => host.prop_map(|host| Event::KillHost { host }),
      3 => leave.clone().prop_map(|(run, notice_ms)| Event::Leave { run, notice_ms }),
      3 => leave.prop_map(|(run, notice_ms)| Event::LeaveElsewhere { run, notice_ms }),
      2 => run.clone().prop_map(|run| Event::LeaveCaller { run }),
      2 => run.prop_map(|run| Event::LoseAnswer { run }),
      1 => Just(Event::LoseNextAnswer),
      2 => Just(Event::RestartTargets),
      1 => Just(Event::RestartHosts),
      1 => slow.prop_map(|(copy_ms, report_ms)| Event::Slow { copy_ms, report_ms }),
    ];
    let pause_ms = prop_oneof![3 => 1_u64..80, 2 => 80_u64..1_200, 1 => 1_200_u64..3_500];
    (event, pause_ms).prop_map(|(event, pause_ms)| Step { event, pause_ms }).boxed()
  }

  fn apply(state: Site, _: &Step) -> Site {
    state
  }
}

impl StateMachineTest for Model {
  type SystemUnderTest = World;
  type Reference = Self;

  fn init_test(site: &Site) -> World {
    let mut world = World::with_engines(site.hosts, site.engines, site.slots);
    world.play(Event::Slow {
      copy_ms: site.copy_ms,
      report_ms: 0,
    });
    world
  }

  fn apply(mut world: World, _: &Site, step: Step) -> World {
    world.play(step.event);
    world.run(Duration::from_millis(step.pause_ms));
    world
  }

  fn check_invariants(world: &World, _: &Site) {
    world.check();
  }

  fn teardown(mut world: World, _: Site) {
    world.settle();
    world.check();
  }
}

/// The number of cases scales with `PROPTEST_CASES`.
fn config() -> ProptestConfig {
  let default = ProptestConfig::default();
  ProptestConfig {
    cases: default.cases * CASES / 256,
    ..default
  }
}

prop_state_machine! {
  #![proptest_config(config())]

  /// Guards against broken rules in any order of events: answers that end as whole too early, pieces that are
  /// missing, repeated or joined (ORDER), runs at two targets at once or twice (TWICE), runs for callers that
  /// have left (GONE), and runs that are sent to targets that leave (DRAIN).
  #[test]
  fn rules_hold_in_any_order_of_events(sequential 4..24 => Model);
}

/// Returns an address that stays free while no process serves there: nothing else uses its number on loopback.
async fn free_address() -> SocketAddr {
  let [a, b, c]: [u8; 3] = rand::random();
  let address = SocketAddr::from(([127, a.max(1), b, c.clamp(1, 254)], 0));
  let listener = TcpListener::bind(address).await.unwrap();
  listener.local_addr().unwrap()
}

/// Plays events with the pauses after them, in milliseconds.
fn play(world: &mut World, events: &[(Event, u64)]) {
  for (event, pause_ms) in events {
    world.play(*event);
    world.run(Duration::from_millis(*pause_ms));
    world.check();
  }
}

fn begin(kind: Kind, pieces: u64) -> Event {
  Event::Begin {
    host: 0,
    kind,
    is_framed: true,
    pieces,
  }
}

/// Guards against a model in which no run moves.
#[test]
fn run_moves_from_a_leaving_engine() {
  let mut world = World::new(2, 2);
  let leave = Event::Leave {
    run: 0,
    notice_ms: 2_500,
  };
  play(
    &mut world,
    &[(begin(Kind::Resumable, 80), 500), (leave, 5_000)],
  );
  assert_eq!(world.log().moved_runs(), 1);
  assert_eq!(world.log().whole_answers(), 1);
}

/// Guards against a model in which no lost answer is found by another run.
#[test]
fn stream_goes_on_after_a_crash_and_after_a_lost_answer() {
  for event in [Event::Crash { run: 0 }, Event::LoseAnswer { run: 0 }] {
    let mut world = World::new(2, 2);
    play(
      &mut world,
      &[(begin(Kind::Resumable, 60), 500), (event, 5_000)],
    );
    assert_eq!(world.log().runs(), 2, "{event:?}");
    assert_eq!(world.log().whole_answers(), 1, "{event:?}");
  }
}

/// Guards against a model in which no caller resumes its stream at another host.
#[test]
fn stream_goes_on_after_its_host_has_ended() {
  let mut world = World::new(2, 2);
  play(
    &mut world,
    &[
      (begin(Kind::Resumable, 60), 500),
      (Event::EndHost { host: 0 }, 6_000),
    ],
  );
  assert_eq!(world.log().runs(), 2);
  assert_eq!(world.log().whole_answers(), 1);
}

/// Guards against a model in which the streams of a killed host do not go on, or those of a frozen one.
#[test]
fn stream_goes_on_after_its_host_was_killed_or_frozen() {
  for (events, runs) in [
    (vec![(Event::KillHost { host: 0 }, 6_000)], 2),
    (vec![(Event::FreezeHost { host: 0 }, 1_000); 2], 1),
  ] {
    let mut world = World::new(2, 2);
    play(&mut world, &[(begin(Kind::Resumable, 60), 500)]);
    play(&mut world, &events);
    world.settle();
    world.check();
    assert_eq!(world.log().runs(), runs, "{events:?}");
    assert_eq!(world.log().whole_answers(), 1, "{events:?}");
  }
}

/// Guards against a model whose requests are not served.
#[test]
fn requests_of_all_kinds_are_answered() {
  for is_framed in [true, false] {
    let mut world = World::new(3, 2);
    let kinds = [
      Kind::Resumable,
      Kind::Unrepeatable,
      Kind::Booking,
      Kind::Lookup,
    ];
    for (host, kind) in kinds.into_iter().enumerate() {
      let begin = Event::Begin {
        host,
        kind,
        is_framed,
        pieces: 15,
      };
      play(&mut world, &[(begin, 20)]);
    }
    world.settle();
    world.check();
    assert_eq!(world.log().whole_answers(), 4, "{is_framed}");
  }
}

/// Guards against a run that goes on at its engine after its copy, if its answer was lost during the copy.
#[test]
fn run_whose_answer_is_lost_during_its_copy_is_stopped() {
  let mut world = World::new(2, 2);
  let slow = Event::Slow {
    copy_ms: 1_000,
    report_ms: 0,
  };
  let leave = Event::Leave {
    run: 0,
    notice_ms: 6_000,
  };
  play(
    &mut world,
    &[
      (slow, 1),
      (begin(Kind::Resumable, 120), 300),
      (leave, 600),
      (Event::LoseAnswer { run: 0 }, 6_000),
    ],
  );
  assert_eq!(world.log().moved_runs(), 1);
  assert_eq!(world.log().whole_answers(), 1);
}

/// Guards against a run that goes on at its engine beside one that another host has begun, if the links of its
/// own host are in doubt but reach the engine.
#[test]
fn run_whose_answer_is_lost_is_stopped_before_another_host_goes_on() {
  // The host knows no other engine when the answer is lost, whatever its last read of the store was.
  for pause_ms in [20, 120, 220] {
    let mut world = World::new(3, 1);
    let leave = Event::LeaveElsewhere {
      run: 0,
      notice_ms: 1_000,
    };
    play(
      &mut world,
      &[
        (begin(Kind::Resumable, 100), 300),
        (leave, 1_500 + pause_ms),
        (Event::RestartTargets, 1),
        (Event::LoseAnswer { run: 0 }, 6_000),
      ],
    );
    assert_eq!(world.log().whole_answers(), 1);
  }
}

/// Guards against a run that is sent to an engine which has begun to leave since its copy was ordered.
#[test]
fn run_is_not_sent_to_an_engine_that_left_during_the_copy() {
  let mut world = World::new(2, 2);
  let slow = Event::Slow {
    copy_ms: 2_800,
    report_ms: 0,
  };
  let leave = Event::Leave {
    run: 0,
    notice_ms: 6_000,
  };
  let leave_elsewhere = Event::LeaveElsewhere {
    run: 0,
    notice_ms: 6_000,
  };
  play(
    &mut world,
    &[
      (slow, 1),
      (begin(Kind::Resumable, 110), 300),
      (leave, 400),
      (leave_elsewhere, 8_000),
    ],
  );
  assert_eq!(world.log().moved_runs(), 0);
  assert_eq!(world.log().whole_answers(), 1);
}

/// Guards against a moved run that goes on at its destination, which lost its answer, beside the run that takes
/// its place.
#[test]
fn moved_run_whose_destination_loses_its_answer_is_stopped_there() {
  let mut world = World::with_engines(2, 3, 2);
  let leave = Event::Leave {
    run: 0,
    notice_ms: 2_500,
  };
  play(
    &mut world,
    &[
      (begin(Kind::Resumable, 80), 500),
      (Event::LoseNextAnswer, 1),
      (leave, 5_000),
    ],
  );
  assert_eq!(world.log().runs(), 3);
  assert!(!world.log().overlaps(), "{}", world.log().describe());
  assert_eq!(world.log().whole_answers(), 1);
}

/// Guards against a run that goes on beside the run of another host, if its own host has lost its links to the
/// engines and can't stop it.
#[test]
fn run_of_a_host_that_lost_its_links_is_stopped_before_another_host_goes_on() {
  // The runs begin at two engines.
  let mut world = World::with_engines(2, 3, 1);
  play(
    &mut world,
    &[
      (begin(Kind::Resumable, 100), 50),
      (begin(Kind::Resumable, 100), 500),
      (Event::CutLinks { host: 0 }, 6_000),
    ],
  );
  assert!(world.log().is_passed_on(), "{}", world.log().describe());
  assert!(!world.log().overlaps(), "{}", world.log().describe());
  assert_eq!(world.log().whole_answers(), 2);
}

/// Guards against sessions that measure no pace, or only that of the first target of a stream, and against hosts that do
/// not learn it.
#[test]
fn hosts_learn_the_pace_of_the_targets_of_a_stream() {
  let mut world = World::new(2, 2);
  world.consider_paces();
  let leave = Event::Leave {
    run: 0,
    notice_ms: 2_500,
  };
  play(
    &mut world,
    &[
      (begin(Kind::Resumable, 80), 500),
      (leave, 8_000),
      (begin(Kind::Resumable, 20), 3_000),
    ],
  );
  assert_eq!(world.log().moved_runs(), 1);
  assert_eq!(world.log().whole_answers(), 2);
  assert_eq!(world.known_paces(), [2, 2]);
}
