use {
  super::*,
  crate::roster::Key,
  proptest::prelude::*,
  slotmap::SlotMap,
  std::time::{Duration, Instant},
};

const SERVICE: &str = "plain";

/// An event at a time in milliseconds; targets are numbered.
#[derive(Clone, Copy, Debug)]
enum Event {
  /// An attempt that began at the time was answered at once.
  Answered(u64),
  /// An attempt that began at the time was answered at another time.
  AnsweredAt(u64, u64),
  /// An attempt that began at the time was disconnected by a target.
  Failed(u64, usize),
  /// An attempt that began at the time has been silent until another time.
  Silent(u64, usize, u64),
  /// Probes that began at the time had no answer.
  Unanswered(u64),
}

use Event::{Answered, AnsweredAt, Failed, Silent, Unanswered};

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
        table.record_answer(SERVICE, at(ms), at(ms));
      }
      AnsweredAt(ms, arrival) => {
        table.record_answer(SERVICE, at(ms), at(arrival));
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

// Guards against callers of cut hosts that wait for a second until silence counts, although targets
// usually answer much sooner.
judges!(
  service_is_silent_for_longer_than_usual,
  3,
  [AnsweredAt(0, 150), Silent(1_000, 0, 1_300)],
  Suspected
);
judges!(
  service_is_silent_for_as_long_as_usual,
  3,
  [AnsweredAt(0, 150), Silent(1_000, 0, 1_299)],
  Sound
);
judges!(
  fast_service_is_silent_for_a_moment,
  3,
  [AnsweredAt(0, 5), Silent(1_000, 0, 1_249)],
  Sound
);
judges!(
  slow_service_is_silent_for_as_long_as_usual,
  3,
  [AnsweredAt(0, 800), Silent(1_000, 0, 2_500)],
  Sound
);
judges!(
  service_that_has_never_answered_is_silent,
  3,
  [Silent(0, 0, 1_000)],
  Sound
);
// Guards against lost links as the verdict on one slow target, or on a service that is busy.
judges!(
  other_target_answered_during_the_silence,
  3,
  [
    AnsweredAt(0, 150),
    AnsweredAt(900, 1_050),
    Silent(1_000, 0, 1_300)
  ],
  Sound
);
judges!(
  only_target_is_silent_for_longer_than_usual,
  1,
  [AnsweredAt(0, 150), Silent(1_000, 0, 1_300)],
  Sound
);
judges!(
  earlier_attempt_is_answered_after_the_silence,
  3,
  [
    AnsweredAt(0, 150),
    Silent(1_000, 0, 1_300),
    AnsweredAt(990, 1_400)
  ],
  Sound
);
judges!(
  earlier_attempt_is_answered_after_probes_without_an_answer,
  3,
  [
    AnsweredAt(0, 150),
    Silent(1_000, 0, 1_300),
    Unanswered(1_300),
    AnsweredAt(990, 1_900)
  ],
  Lost
);
judges!(
  silent_attempt_is_answered_after_probes_without_an_answer,
  3,
  [
    AnsweredAt(0, 150),
    Silent(1_000, 0, 1_300),
    Unanswered(1_300),
    AnsweredAt(1_000, 1_900)
  ],
  Sound
);
// Guards against a second cut that is noticed late, as the answers that arrived at the end of the first
// one count as usual.
judges!(
  second_silence,
  3,
  [
    AnsweredAt(0, 150),
    Silent(1_000, 0, 1_300),
    Unanswered(1_300),
    AnsweredAt(1_000, 9_000),
    AnsweredAt(8_000, 9_010),
    Silent(10_000, 0, 10_300)
  ],
  Suspected
);
judges!(
  silence_soon_after_one_that_was_refuted,
  3,
  [
    AnsweredAt(0, 150),
    Silent(1_000, 0, 1_300),
    Answered(1_310),
    Silent(1_400, 1, 1_700)
  ],
  Suspected
);

/// Guards against probes of targets that are all slow, at each request.
#[test]
fn silent_service_is_probed_once_a_second() {
  let now = Instant::now();
  let later = |ms| now + Duration::from_millis(ms);
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let silent = keys.insert(());
  let mut table = Table::default();
  table.record_answer(SERVICE, now, later(100));
  let mut doubts = 0;
  for ms in (200..2_200).step_by(20) {
    let is_new = table.record_failure(
      SERVICE,
      silent,
      Failure::Silent,
      later(ms),
      3,
      later(ms + 300),
    );
    doubts += u32::from(is_new);
    for probe in table.due_probes(later(ms + 300)) {
      assert_eq!((probe.targets, &probe.failed), (2, &vec![silent]));
      assert_eq!(probe.patience, Duration::from_millis(250));
      table.record_answer(SERVICE, later(ms + 300), later(ms + 301));
    }
  }
  assert_eq!(doubts, 2);
}

proptest! {
  /// Guards against lost links as the verdict on a target that hangs while others answer.
  #[test]
  fn service_that_goes_on_answering_is_sound(
    answers in prop::collection::vec((1_u64..240, 0_u64..2_000), 1..60),
    silent in prop::collection::vec((0_u64..5_000, any::<prop::sample::Index>()), 0..60),
  ) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    let hanging = keys.insert(());
    let mut table = Table::default();
    let mut now = 5_000;
    for (index, (pause, time)) in answers.iter().enumerate() {
      // Attempts at the hanging target are found silent at any time between two answers.
      for (age, slot) in &silent {
        if slot.index(answers.len()) == index && index > 0 {
          let (began_at, now) = (at(now + pause - 1 - age.min(&(now + pause - 1))), at(now + pause - 1));
          table.record_failure(SERVICE, hanging, Failure::Silent, began_at, 3, now);
        }
      }
      now += pause;
      table.record_answer(SERVICE, at(now - time), at(now));
      prop_assert_eq!(table.status(SERVICE), Status::Sound);
      prop_assert!(table.due_probes(at(now)).is_empty());
    }
  }

  /// Guards against silence that never counts, whatever the response times were.
  #[test]
  fn silence_counts_in_time(
    times in prop::collection::vec(0_u64..20_000, 1..40),
    max_silence in 1_000_u64..10_000,
  ) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    let mut table = Table::default();
    for time in times {
      table.record_answer(SERVICE, at(20_000 - time), at(20_000));
    }
    let began_at = at(20_001);
    let max_silence = Duration::from_millis(max_silence);
    let silent_from = table.silent_from(SERVICE, began_at, max_silence);
    prop_assert!(silent_from >= began_at + Duration::from_millis(250));
    prop_assert!(silent_from <= began_at + max_silence.min(Duration::from_secs(3)));
    let now = began_at + Duration::from_secs(3);
    prop_assert!(table.record_failure(SERVICE, keys.insert(()), Failure::Silent, began_at, 2, now));
  }
}

/// Guards against probes at each request, and against hosts that never learn of the end of a cut.
#[test]
fn targets_are_probed_at_intervals_while_the_links_are_in_doubt() {
  let now = Instant::now();
  let later = |ms| now + Duration::from_millis(ms);
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let mut table = Table::default();
  assert!(table.due_probes(now).is_empty());
  let failure = Failure::Disconnected;
  let key = keys.insert(());
  assert!(table.record_failure(SERVICE, key, failure, now, 1, now));
  let probe = Probe {
    failed: vec![key],
    failure,
    patience: Duration::from_secs(1),
    service: SERVICE.into(),
    targets: 2,
  };
  assert!(table.due_probes(now).contains(&probe));
  assert!(table.due_probes(later(499)).is_empty());
  assert!(table.record_failed_probes(SERVICE, now));
  assert_eq!(table.lost().collect::<Vec<_>>(), [SERVICE]);
  assert_eq!(table.due_probes(later(500)), vec![probe]);
  let mut answer = |ms| table.record_answer(SERVICE, later(ms), later(ms));
  assert_eq!(answer(500), Some(Status::Lost));
  assert_eq!(answer(600), None);
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
  assert_eq!(
    table.record_answer(SERVICE, now, now),
    Some(Status::Suspected)
  );
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
