use {
  super::*,
  crate::roster::Key,
  slotmap::SlotMap,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

const NEED: Need = Need {
  memory: Some(30_000),
  tokens: 4_000,
};

fn keys(count: usize) -> Vec<Key> {
  let mut slots: SlotMap<Key, ()> = SlotMap::with_key();
  (0..count).map(|_| slots.insert(())).collect()
}

fn load(arriving: u64, runs: u32, tokens: u64) -> Load {
  Load {
    arriving,
    runs,
    tokens,
    ..Load::default()
  }
}

fn candidate(key: Key, load: Load) -> Candidate {
  Candidate {
    ejected: false,
    key,
    load,
    near: true,
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
      assert_eq!(choose(candidates, &NEED, 1.0, || 0.5), expected(&keys));
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
chooses!(full_slots, [load(0, 24, 0)], |_| {}, |_| Choice::Full);
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
  |candidates| candidates[0].near = false,
  |keys| Choice::Chosen(keys[1])
);

#[test]
fn loads_of_all_hosts_add_up() {
  let places = Places::default();
  let own = places.take(Run {
    load: load(10, 1, 100),
    target: 7,
  });
  let peer = "10.0.0.2:1".parse().unwrap();
  places.lock().learn(peer, HashMap::from([(7, load(1, 2, 200))]));
  assert_eq!(places.lock().load(7), load(11, 3, 300));
  assert_eq!(places.lock().own(7), load(10, 1, 100));
  drop(own);
  places.lock().forget(peer);
  assert_eq!(places.lock().load(7), Load::default());
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
