use {
  super::*,
  crate::roster::Key,
  slotmap::SlotMap,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

const DEMAND: Demand = Demand {
  last_resort: false,
  capacity_tokens: Some(30_000),
  expected_tokens: 4_000,
};

fn keys(count: usize) -> Vec<Key> {
  let mut slots: SlotMap<Key, ()> = SlotMap::with_key();
  (0..count).map(|_| slots.insert(())).collect()
}

fn load(prefill_tokens: u64, requests: u32, expected_tokens: u64) -> Load {
  Load {
    prefill_tokens,
    requests,
    expected_tokens,
    ..Load::default()
  }
}

fn candidate(key: Key, load: Load) -> Candidate {
  Candidate {
    cold_limited: false,
    ejected: false,
    key,
    load,
    local: true,
    slots: 24,
    tried: false,
  }
}

/// Names a case: the loads of the candidates and the index of the choice.
macro_rules! chooses {
  ($name:ident, [$($load:expr),*], $change:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let loads: Vec<Load> = vec![$($load),*];
      let keys = keys(loads.len());
      let mut candidates: Vec<Candidate> =
        keys.iter().zip(loads).map(|(key, load)| candidate(*key, load)).collect();
      let change: fn(&mut Vec<Candidate>) = $change;
      change(&mut candidates);
      let expected: fn(&[Key]) -> Choice = $expected;
      assert_eq!(choose(candidates, &DEMAND, 1.0, || 0.5), expected(&keys));
    }
  };
}

chooses!(no_candidate, [], |_| {}, |_| Choice::None);
chooses!(
  least_memory,
  [load(0, 2, 9_000), load(0, 2, 8_000)],
  |_| {},
  |keys| Choice::Chosen(keys[1])
);
chooses!(
  prompts_that_wait_count_more,
  [load(4_000, 2, 8_000), load(0, 3, 14_000)],
  |_| {},
  |keys| { Choice::Chosen(keys[1]) }
);
chooses!(full_memory, [load(0, 5, 26_001)], |_| {}, |_| Choice::Full);
chooses!(
  no_more_prompts_where_some_wait,
  [load(7_501, 2, 8_000)],
  |_| {},
  |_| Choice::Full
);
chooses!(full_slots, [load(0, 24, 0)], |_| {}, |_| Choice::Full);
chooses!(
  cold_target_that_has_its_part,
  [load(0, 0, 0), load(0, 5, 20_000)],
  |candidates| candidates[0].cold_limited = true,
  |keys| Choice::Chosen(keys[1])
);
chooses!(
  ejected_target_is_passed_over,
  [load(0, 0, 0), load(0, 5, 20_000)],
  |candidates| candidates[0].ejected = true,
  |keys| Choice::Chosen(keys[1])
);
chooses!(
  ejected_targets_are_better_than_none,
  [load(0, 0, 0)],
  |candidates| candidates[0].ejected = true,
  |keys| Choice::Chosen(keys[0])
);
chooses!(
  tried_target_is_not_tried_again,
  [load(0, 0, 0)],
  |candidates| candidates[0].tried = true,
  |_| Choice::None
);
chooses!(
  near_target_of_equal_load,
  [load(0, 1, 4_000), load(0, 1, 4_000)],
  |candidates| candidates[0].local = false,
  |keys| Choice::Chosen(keys[1])
);

/// Names a case: whether it is the last resort of a plain request, the requests at the
/// targets, whether the last of them is ejected, and the index of the choice.
macro_rules! plain_choices {
  ($name:ident, $last_resort:expr, $runs:expr, $ejected:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let runs: &[u32] = &$runs;
      let keys = keys(runs.len());
      let loaded = |(key, runs): (&Key, &u32)| Candidate {
        slots: 6,
        ..candidate(*key, load(0, *runs, 0))
      };
      let mut candidates: Vec<Candidate> = keys.iter().zip(runs).map(loaded).collect();
      candidates.last_mut().unwrap().ejected = $ejected;
      let need = Demand {
        last_resort: $last_resort,
        capacity_tokens: None,
        expected_tokens: 0,
      };
      let expected: Option<usize> = $expected;
      let expected = expected.map_or(Choice::Full, |index| Choice::Chosen(keys[index]));
      assert_eq!(choose(candidates, &need, 1.0, || 0.5), expected);
    }
  };
}

plain_choices!(full_targets_are_waited_for, false, [6, 7], false, None);
plain_choices!(full_target_queues_at_last, true, [7, 6], false, Some(1));
plain_choices!(
  ejected_target_with_room_is_better_than_a_refusal,
  true,
  [6, 1],
  true,
  Some(1)
);
plain_choices!(sound_target_goes_first, true, [5, 0], true, Some(0));
plain_choices!(long_queues_are_refused, true, [18, 18], false, None);

#[test]
fn loads_of_all_hosts_add_up() {
  let places = Scheduler::default();
  let own = places.reserve(Assignment {
    load: load(10, 1, 100),
    target: 7,
  });
  let peer = "10.0.0.2:1".parse().unwrap();
  places.lock().set_peer_loads(peer, HashMap::from([(7, load(1, 2, 200))]));
  assert_eq!(places.lock().total_load(7), load(11, 3, 300));
  assert_eq!(places.lock().local_load(7), load(10, 1, 100));
  drop(own);
  places.lock().remove_host(peer);
  assert_eq!(places.lock().total_load(7), Load::default());
  assert!(places.lock().is_empty());
}

#[test]
fn two_failures_in_a_row_eject_for_a_while() {
  let now = Instant::now();
  let key = keys(1)[0];
  let mut health = Health::default();
  assert_eq!(health.record(key, Outcome::Failed, now), None);
  let ejection = health.record(key, Outcome::Failed, now).unwrap();
  assert!(health.is_ejected(key, now));
  assert!(!health.is_ejected(key, now + ejection));
}

#[test]
fn unreachable_target_is_ejected_at_once_and_longer_each_time() {
  let mut now = Instant::now();
  let key = keys(1)[0];
  let mut health = Health::default();
  let mut last = Duration::ZERO;
  for _ in 0..4 {
    let ejection = health.record(key, Outcome::Unreachable, now).unwrap();
    assert!(ejection > last);
    last = ejection;
    now += ejection;
  }
}

#[test]
fn rare_failures_do_not_eject() {
  let now = Instant::now();
  let key = keys(1)[0];
  let mut health = Health::default();
  for index in 0..100 {
    let outcome = if index % 10 == 0 {
      Outcome::Failed
    } else {
      Outcome::Answered
    };
    assert_eq!(health.record(key, outcome, now), None);
  }
}

#[test]
fn queue_puts_who_can_be_on_time_first() {
  let now = Instant::now();
  let rank = |late, urgency, give_up_at| Rank {
    late,
    urgency,
    give_up_at: now + Duration::from_secs(give_up_at),
  };
  let mut queue = Queue::default();
  let late = queue.enqueue("s", rank(true, 0, 1));
  let less_urgent = queue.enqueue("s", rank(false, 2, 1));
  let patient = queue.enqueue("s", rank(false, 1, 3));
  let first = queue.enqueue("s", rank(false, 1, 2));
  let other = queue.enqueue("t", rank(true, 9, 9));
  assert!(queue.is_first("t", other));
  let order = [first, patient, less_urgent, late];
  for (index, ticket) in order.into_iter().enumerate() {
    assert!(queue.is_first("s", ticket));
    assert!(order[index + 1..].iter().all(|later| !queue.is_first("s", *later)));
    queue.remove("s", ticket);
  }
}

#[test]
fn lengths_are_learned_with_and_without_estimates() {
  let mut lengths = LengthModel::new(2_000);
  for index in 0..400_u64 {
    let actual = 300 + 2 * (index % 200);
    lengths.observe(Some(actual), actual);
  }
  assert!(
    lengths.predict(None, 2_000, 0).abs_diff(500) < 50,
    "{lengths:?}"
  );
  // Estimates that were always right move the expectation by more than half of the way.
  assert!(
    lengths.predict(Some(350), 2_000, 0).abs_diff(350) < 75,
    "{lengths:?}"
  );
}

#[test]
fn answer_that_goes_on_is_expected_to_be_longer() {
  let lengths = LengthModel::new(2_000);
  let mut last = 0;
  for generated in [0, 500, 1_000, 1_900, 2_000] {
    let expected = lengths.predict(None, 2_000, generated);
    assert!(expected >= generated && expected >= last && expected <= 2_000);
    last = expected;
  }
}

const COLD: ColdLimit = ColdLimit {
  rate: 5.0,
  overage: 1.5,
  allowance: 5.0,
};

/// The pattern: a target comes back cold and is the least loaded one for every host.
#[test]
fn hosts_together_stay_within_the_bound_of_a_cold_target() {
  let now = Instant::now();
  let key = keys(1)[0];
  let sent: usize = (0..6)
    .map(|_| {
      let mut pace = Throttle::default();
      let allowed = (0..100).filter(|_| {
        let allows = pace.allows(key, &COLD, 6, 0.5, now);
        if allows {
          pace.record(key, now);
        }
        allows
      });
      allowed.count()
    })
    .sum();
  assert_eq!(sent, 12);
}

#[test]
fn part_of_a_cold_target_comes_back_after_a_second() {
  let now = Instant::now();
  let key = keys(1)[0];
  let mut pace = Throttle::default();
  pace.record(key, now);
  pace.record(key, now);
  assert!(!pace.allows(key, &COLD, 6, 0.0, now));
  assert!(pace.allows(key, &COLD, 6, 0.0, now + Duration::from_secs(1)));
}

#[test]
fn part_below_one_is_left_to_chance() {
  let now = Instant::now();
  let key = keys(1)[0];
  let pace = Throttle::default();
  assert!(pace.allows(key, &COLD, 75, 0.16, now));
  assert!(!pace.allows(key, &COLD, 75, 0.17, now));
}
