use {
  super::*,
  crate::roster::Key,
  slotmap::SlotMap,
  std::time::{Duration, Instant},
};

const SERVICE: &str = "plain";

/// An event at a time in milliseconds; targets are numbered.
#[derive(Clone, Copy, Debug)]
enum Event {
  /// An attempt that began at the time was answered.
  Answered(u64),
  /// An attempt that began at the time was disconnected by a target.
  Failed(u64, usize),
  /// An attempt that began at the time has been silent until another time.
  Silent(u64, usize, u64),
  /// Probes that began at the time had no answer.
  Unanswered(u64),
}

use Event::{Answered, Failed, Silent, Unanswered};

/// Defines a test from the number of targets, the events in the order in which they become known, and
/// the expected status.
macro_rules! judges {
  ($name:ident, $targets:expr, [$($event:expr),*], $expected:ident) => {
    #[test]
    fn $name() {
      assert_eq!(judge($targets, &[$($event),*]), Status::$expected);
    }
  };
}

fn judge(targets: usize, events: &[Event]) -> Status {
  let start = Instant::now();
  let at = |ms| start + Duration::from_millis(ms);
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let keys: Vec<Key> = (0..10).map(|_| keys.insert(())).collect();
  let mut table = Table::default();
  for event in events {
    match *event {
      Answered(ms) => {
        table.record_answer(SERVICE, at(ms));
      }
      Failed(ms, target) => {
        let failure = Failure::Disconnected;
        table.record_failure(
          SERVICE,
          keys[target],
          failure,
          at(ms),
          targets,
          at(ms + 250),
        );
      }
      Silent(ms, target, until) => {
        let failure = Failure::Silent;
        table.record_failure(SERVICE, keys[target], failure, at(ms), targets, at(until));
      }
      Unanswered(ms) => {
        table.record_failed_probes(SERVICE, at(ms));
      }
    }
  }
  table.status(SERVICE)
}

judges!(no_attempts, 3, [], Sound);
judges!(
  one_target_fails,
  3,
  [Failed(0, 0), Failed(10, 0), Failed(20, 0)],
  Sound
);
judges!(
  two_targets_fail,
  3,
  [Failed(0, 0), Failed(10, 1)],
  Suspected
);
judges!(only_target_fails, 1, [Failed(0, 0)], Suspected);
judges!(
  answer_in_between,
  3,
  [Failed(0, 0), Answered(5), Failed(10, 1)],
  Sound
);
judges!(
  answer_to_an_attempt_that_began_before_the_failures,
  3,
  [Failed(10, 0), Failed(20, 1), Answered(5)],
  Suspected
);
judges!(
  failure_of_an_attempt_that_began_before_an_answered_one,
  3,
  [Failed(30, 0), Answered(20), Failed(10, 1)],
  Sound
);
judges!(
  probes_without_an_answer,
  3,
  [Failed(0, 0), Failed(10, 1), Unanswered(20)],
  Lost
);
judges!(probes_without_a_failure, 3, [Unanswered(20)], Sound);
judges!(
  answered_probe,
  3,
  [Failed(0, 0), Failed(10, 1), Unanswered(20), Answered(600)],
  Sound
);
judges!(
  late_answer_while_lost,
  3,
  [
    Failed(100, 0),
    Failed(110, 1),
    Unanswered(120),
    Answered(50)
  ],
  Lost
);
judges!(
  two_targets_are_silent,
  3,
  [Silent(0, 0, 1_000), Silent(10, 1, 1_010)],
  Suspected
);
judges!(
  two_targets_are_late,
  3,
  [Silent(0, 0, 300), Silent(500, 1, 800)],
  Sound
);
judges!(
  two_targets_are_late_again_and_again,
  3,
  [
    Silent(0, 0, 300),
    Silent(400, 1, 700),
    Silent(800, 0, 1_100)
  ],
  Suspected
);
judges!(
  one_target_is_silent,
  3,
  [
    Silent(0, 0, 1_000),
    Silent(100, 0, 2_000),
    Silent(200, 0, 3_000)
  ],
  Sound
);
judges!(
  answered_attempt_that_began_after_the_silent_ones,
  3,
  [Silent(0, 0, 1_000), Answered(20), Silent(10, 1, 1_010)],
  Sound
);
judges!(
  failures_far_apart,
  3,
  [Failed(0, 0), Failed(6_000, 1)],
  Sound
);

/// Guards against probes at each request, and against hosts that never learn of the end of a cut.
#[test]
fn targets_are_probed_at_intervals_while_the_links_are_in_doubt() {
  let now = Instant::now();
  let later = |ms| now + Duration::from_millis(ms);
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let mut table = Table::default();
  assert!(table.due_probes(now).is_empty());
  let failure = Failure::Disconnected;
  assert!(table.record_failure(SERVICE, keys.insert(()), failure, now, 1, now));
  let probe = Probe {
    service: SERVICE.into(),
    targets: 2,
  };
  assert!(table.due_probes(now).contains(&probe));
  assert!(table.due_probes(later(499)).is_empty());
  assert!(table.record_failed_probes(SERVICE, now));
  assert_eq!(table.lost().collect::<Vec<_>>(), [SERVICE]);
  assert_eq!(table.due_probes(later(500)), vec![probe]);
  assert_eq!(table.record_answer(SERVICE, later(500)), Some(Status::Lost));
  assert_eq!(table.record_answer(SERVICE, later(600)), None);
  assert_eq!(table.lost().count(), 0);
  assert!(!table.has_doubts());
  assert!(table.due_probes(later(2_000)).is_empty());
}

/// Guards against targets that are down and count as reachable again once a suspicion proves unfounded.
#[test]
fn end_of_a_suspicion_is_no_end_of_a_loss() {
  let now = Instant::now();
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let mut table = Table::default();
  for _ in 0..2 {
    table.record_failure(SERVICE, keys.insert(()), Failure::Disconnected, now, 3, now);
  }
  assert_eq!(table.record_answer(SERVICE, now), Some(Status::Suspected));
}

#[test]
fn state_stays_bounded() {
  let now = Instant::now();
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let mut table = Table::default();
  let failure = Failure::Disconnected;
  for number in 0..5_000 {
    let key = keys.insert(());
    let service = format!("s-{}", number % 2_000);
    table.record_failure(&service, key, failure, now, 1, now);
    table.record_failure(SERVICE, key, failure, now, 1, now);
  }
  assert!(table.due_probes(now).len() <= 1024);
}
