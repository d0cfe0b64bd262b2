use {
  super::*,
  crate::tree::Tree,
  proptest::prelude::*,
  slotmap::SlotMap,
  std::time::{Duration, Instant},
};

fn candidate(key: Key, in_flight: u64) -> Candidate {
  Candidate {
    in_flight,
    key,
    limit: 4,
    retry_at: None,
  }
}

fn keys(count: usize) -> Vec<Key> {
  let mut slot_map: SlotMap<Key, ()> = SlotMap::with_key();
  (0..count).map(|_| slot_map.insert(())).collect()
}

/// Defines a test: for each target, the jobs in flight and the seconds until it may be retried
/// after a failed connection, and the expected choice.
macro_rules! case {
  ($name:ident, [$(($in_flight:expr, $wait:expr)),* $(,)?], $expected:expr) => {
    #[test]
    fn $name() {
      let now = Instant::now();
      let loads: Vec<(u64, u64)> = vec![$(($in_flight, $wait)),*];
      let keys = keys(loads.len());
      let candidates = loads.iter().zip(&keys).map(|((in_flight, wait), key)| Candidate {
        retry_at: (*wait > 0).then(|| now + Duration::from_secs(*wait)),
        ..candidate(*key, *in_flight)
      });
      let expected: fn(&[Key]) -> Choice = $expected;
      assert_eq!(choose(candidates, now, 1), expected(&keys));
    }
  };
}

case!(fewest_jobs_in_flight, [(2, 0), (1, 0), (3, 0)], |keys| {
  Choice::Chosen(keys[1])
});
case!(full_targets, [(4, 0), (9, 0)], |_| Choice::Busy);
case!(no_candidates, [], |_| Choice::None);
case!(
  only_target_below_its_limit_is_unreachable,
  [(4, 0), (0, 1)],
  |_| { Choice::Unreachable }
);
case!(unreachable_target_is_skipped, [(0, 1), (3, 0)], |keys| {
  Choice::Chosen(keys[1])
});

#[test]
fn ties_are_broken_evenly() {
  let now = Instant::now();
  let keys = keys(4);
  let mut counts = [0; 4];
  for random in 0..4000 {
    let candidates = keys.iter().map(|key| candidate(*key, 0));
    let Choice::Chosen(key) = choose(candidates, now, random) else {
      panic!("every target is below its limit");
    };
    counts[keys.iter().position(|other| *other == key).unwrap()] += 1;
  }
  assert!(
    counts.iter().all(|count| (800..1200).contains(count)),
    "{counts:?}"
  );
}

fn tree(state: &str, targets: &str) -> Tree {
  let text = format!(
    "operator: rig\nkeys: [{{id: k, secret: BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=}}]\n\
     data_centres: {{kochi: {{state: {state}}}}}\n\
     services: {{s: {{kind: plain, overrides: {{in_hand: 2}}, targets: {{{targets}}}}}}}\naccounts: {{}}\n"
  );
  Tree::parse("tree", &text).unwrap()
}

const ONE: &str = "a: {address: \"10.0.0.1:1\", data_centre: kochi}";
const OTHER: &str = "b: {address: \"10.0.0.2:1\", data_centre: kochi}";

#[test]
fn limit_holds_and_is_freed_as_jobs_end() {
  let targets = Targets::default();
  targets.lock().reconcile(&tree("in", ONE));
  let now = Instant::now();
  let acquire = || targets.acquire("s", &[], now, 0);
  let first = acquire().unwrap();
  let _second = acquire().unwrap();
  assert_eq!(acquire().unwrap_err(), Choice::Busy);
  drop(first);
  acquire().unwrap();
}

#[test]
fn data_centre_in_state_out_gets_no_new_work() {
  let targets = Targets::default();
  targets.lock().reconcile(&tree("in", ONE));
  let chosen = targets.acquire("s", &[], Instant::now(), 0).unwrap();
  targets.lock().reconcile(&tree("out", ONE));
  assert_eq!(
    targets.acquire("s", &[], Instant::now(), 0).unwrap_err(),
    Choice::None
  );
  assert!(!targets.lock().takes_work(chosen.in_flight.key()));
}

#[test]
fn removed_target_is_dropped_after_its_last_job() {
  let targets = Targets::default();
  targets.lock().reconcile(&tree("in", ONE));
  let chosen = targets.acquire("s", &[], Instant::now(), 0).unwrap();
  targets.lock().reconcile(&tree("in", OTHER));
  assert_eq!(targets.lock().rows().len(), 2);
  drop(chosen);
  targets.lock().reconcile(&tree("in", OTHER));
  assert_eq!(targets.lock().rows().len(), 1);
}

#[test]
fn unreachable_target_is_retried_after_a_delay() {
  let targets = Targets::default();
  targets.lock().reconcile(&tree("in", ONE));
  let now = Instant::now();
  let key = targets.acquire("s", &[], now, 0).unwrap().in_flight.key();
  targets.lock().record_connection(key, false, now);
  assert_eq!(
    targets.acquire("s", &[], now, 0).unwrap_err(),
    Choice::Unreachable
  );
  targets.acquire("s", &[], now + Duration::from_secs(1), 0).unwrap();
}

proptest! {
  #[test]
  fn chosen_target_is_below_its_limit_with_the_fewest_jobs(loads in prop::collection::vec(0_u64..8, 0..20), random: u64) {
    let keys = keys(loads.len());
    let candidates = keys.iter().zip(&loads).map(|(key, load)| candidate(*key, *load));
    let fewest = loads.iter().copied().filter(|load| *load < 4).min();
    match choose(candidates, Instant::now(), random) {
      Choice::Chosen(key) => {
        let at = keys.iter().position(|other| *other == key).unwrap();
        prop_assert_eq!(Some(loads[at]), fewest);
      }
      choice => {
        prop_assert_eq!(fewest, None);
        let expected = if loads.is_empty() { Choice::None } else { Choice::Busy };
        prop_assert_eq!(choice, expected);
      }
    }
  }
}
