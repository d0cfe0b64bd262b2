use {
  super::*,
  crate::roster::Key,
  slotmap::SlotMap,
  std::{
    collections::HashMap,
    net::SocketAddr,
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
    granted: true,
    surcharge: 0.0,
    cold_limited: false,
    ejected: false,
    key,
    load,
    local: true,
    paused_until: None,
    room: None,
    slots: 24,
    tried: false,
  }
}

/// Defines a test: the loads of the candidates, a change to the candidates and the expected
/// choice.
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

chooses!(no_candidates, [], |_| {}, |_| Choice::None);
chooses!(
  least_expected_tokens,
  [load(0, 2, 9_000), load(0, 2, 8_000)],
  |_| {},
  |keys| Choice::Chosen(keys[1])
);
chooses!(
  pending_prefill_costs_more_than_expected_tokens,
  [load(4_000, 2, 8_000), load(0, 3, 14_000)],
  |_| {},
  |keys| { Choice::Chosen(keys[1]) }
);
chooses!(full_memory, [load(0, 5, 26_001)], |_| {}, |_| Choice::Full);
chooses!(
  full_due_to_pending_prefill,
  [load(7_501, 2, 8_000)],
  |_| {},
  |_| Choice::Full
);
chooses!(full_slots, [load(0, 24, 0)], |_| {}, |_| Choice::Full);
chooses!(
  rate_limited_cold_target_is_skipped,
  [load(0, 0, 0), load(0, 5, 20_000)],
  |candidates| candidates[0].cold_limited = true,
  |keys| Choice::Chosen(keys[1])
);
chooses!(
  ejected_target_is_skipped,
  [load(0, 0, 0), load(0, 5, 20_000)],
  |candidates| candidates[0].ejected = true,
  |keys| Choice::Chosen(keys[1])
);
chooses!(
  ejected_target_is_used_if_all_are_ejected,
  [load(0, 0, 0)],
  |candidates| candidates[0].ejected = true,
  |keys| Choice::Chosen(keys[0])
);
chooses!(
  tried_target_is_not_eligible,
  [load(0, 0, 0)],
  |candidates| candidates[0].tried = true,
  |_| Choice::None
);
chooses!(
  local_target_is_preferred_at_equal_load,
  [load(0, 1, 4_000), load(0, 1, 4_000)],
  |candidates| candidates[0].local = false,
  |keys| Choice::Chosen(keys[1])
);

/// Defines a test for a service without engines: whether the choice is the last resort, the number
/// of requests at each target, whether the last target is ejected, and the index of the target
/// that is chosen, if any.
macro_rules! plain_choices {
  ($name:ident, $last_resort:expr, $requests:expr, $ejected:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let requests: &[u32] = &$requests;
      let keys = keys(requests.len());
      let with_requests = |(key, requests): (&Key, &u32)| Candidate {
        room: None,
        slots: 6,
        ..candidate(*key, load(0, *requests, 0))
      };
      let mut candidates: Vec<Candidate> = keys.iter().zip(requests).map(with_requests).collect();
      candidates.last_mut().unwrap().ejected = $ejected;
      let demand = Demand {
        last_resort: $last_resort,
        capacity_tokens: None,
        expected_tokens: 0,
      };
      let expected: Option<usize> = $expected;
      let expected = expected.map_or(Choice::Full, |index| Choice::Chosen(keys[index]));
      assert_eq!(choose(candidates, &demand, 1.0, || 0.5), expected);
    }
  };
}

plain_choices!(full_targets_without_last_resort, false, [6, 7], false, None);
plain_choices!(
  least_loaded_full_target_as_last_resort,
  true,
  [7, 6],
  false,
  Some(1)
);
plain_choices!(ejected_target_as_last_resort, true, [6, 1], true, Some(1));
plain_choices!(healthy_target_is_preferred, true, [5, 0], true, Some(0));
plain_choices!(
  targets_with_long_queues_are_full,
  true,
  [18, 18],
  false,
  None
);

#[test]
fn loads_of_all_hosts_add_up() {
  let scheduler = Scheduler::default();
  let reservation = scheduler.reserve(
    Assignment {
      load: load(10, 1, 100),
      target: 7,
    },
    None,
  );
  let peer = "10.0.0.2:1".parse().unwrap();
  scheduler.lock().set_peer_loads(peer, HashMap::from([(7, load(1, 2, 200))]));
  assert_eq!(scheduler.lock().total_load(7), load(11, 3, 300));
  assert_eq!(scheduler.lock().local_load(7), load(10, 1, 100));
  drop(reservation);
  scheduler.lock().remove_host(peer);
  assert_eq!(scheduler.lock().total_load(7), Load::default());
  assert!(scheduler.lock().is_empty());
}

#[test]
fn two_consecutive_failures_eject_temporarily() {
  let now = Instant::now();
  let key = keys(1)[0];
  let mut health = Health::default();
  assert_eq!(health.record(key, Outcome::Failed, now), None);
  let ejection = health.record(key, Outcome::Failed, now).unwrap();
  assert!(health.is_ejected(key, now));
  assert!(!health.is_ejected(key, now + ejection));
}

/// Guards against hosts that each find out by themselves that a target crashed.
#[test]
fn crashed_target_is_ejected_until_its_entry_lapses() {
  let key = keys(1)[0];
  let now = Instant::now();
  let mut health = Health::default();
  health.record(key, Outcome::Answered, now);
  let ejection = health.record(key, Outcome::Crashed, now).unwrap();
  assert_eq!(ejection, Duration::from_secs(4));
  assert!(health.is_ejected(key, now + ejection - Duration::from_millis(1)));
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
fn queue_orders_by_lateness_priority_and_time_limit() {
  let now = Instant::now();
  let rank = |late, priority, give_up_at| Rank {
    late,
    priority,
    over_share: false,
    give_up_at: now + Duration::from_secs(give_up_at),
  };
  let mut queue = Queue::default();
  let late = queue.enqueue("s", rank(true, 0, 1), 0);
  let lower_priority = queue.enqueue("s", rank(false, 2, 1), 0);
  let longer_wait = queue.enqueue("s", rank(false, 1, 3), 0);
  let first = queue.enqueue("s", rank(false, 1, 2), 0);
  let other_service = queue.enqueue("t", rank(true, 9, 9), 0);
  assert!(queue.is_first("t", other_service));
  let order = [first, longer_wait, lower_priority, late];
  for (index, entry) in order.into_iter().enumerate() {
    assert!(queue.is_first("s", entry));
    assert!(order[index + 1..].iter().all(|later| !queue.is_first("s", *later)));
    queue.remove("s", entry);
  }
}

#[test]
fn length_model_learns_with_and_without_hints() {
  let mut model = LengthModel::new(2_000);
  for index in 0..400_u64 {
    let actual = 300 + 2 * (index % 200);
    model.observe(Some(actual), actual);
  }
  assert!(
    model.predict(None, 2_000, 0).abs_diff(500) < 50,
    "{model:?}"
  );
  // Hints that were always right move the prediction from the mean of about 500 to the hint by
  // more than half of the way, which is 75.
  assert!(
    model.predict(Some(350), 2_000, 0).abs_diff(350) < 75,
    "{model:?}"
  );
}

#[test]
fn prediction_grows_with_the_generated_tokens() {
  let model = LengthModel::new(2_000);
  let mut last = 0;
  for generated in [0, 500, 1_000, 1_900, 2_000] {
    let predicted = model.predict(None, 2_000, generated);
    assert!(predicted >= generated && predicted >= last && predicted <= 2_000);
    last = predicted;
  }
}

const COLD_LIMIT: ColdLimit = ColdLimit {
  rate: 5.0,
  overage: 1.5,
  allowance: 5.0,
};

/// Returns how many of 100 requests each of some hosts may send to a cold target at once.
fn sent_at_once(hosts: usize) -> Vec<usize> {
  let now = Instant::now();
  let key = keys(1)[0];
  let sent = (0..hosts).map(|position| {
    let share = COLD_LIMIT.share(hosts, Some(position));
    let mut throttle = Throttle::default();
    let allowed = (0..100).filter(|_| {
      let allows = throttle.allows(key, &COLD_LIMIT, &share, now);
      if allows {
        throttle.record(key, now);
      }
      allows
    });
    allowed.count()
  });
  sent.collect()
}

/// A restarted target is cold and the least loaded one in the view of every host, so all
/// hosts would send to it at once.
#[test]
fn hosts_together_stay_within_the_limit_of_a_cold_target() {
  assert_eq!(sent_at_once(6).iter().sum::<usize>(), 12);
  assert_eq!(sent_at_once(5), [3, 3, 2, 2, 2]);
}

#[test]
fn cold_target_is_allowed_again_after_a_second() {
  let now = Instant::now();
  let key = keys(1)[0];
  let share = COLD_LIMIT.share(6, Some(0));
  let mut throttle = Throttle::default();
  throttle.record(key, now);
  throttle.record(key, now);
  assert!(!throttle.allows(key, &COLD_LIMIT, &share, now + Duration::from_millis(999)));
  assert!(throttle.allows(key, &COLD_LIMIT, &share, now + Duration::from_secs(1)));
}

/// Guards against hosts with a share below one request whose sum is left to chance.
#[test]
fn as_many_hosts_as_a_cold_target_takes_requests_have_a_turn() {
  let sent = sent_at_once(75);
  assert_eq!(sent.iter().sum::<usize>(), 12);
  assert!(sent.iter().all(|sent| *sent <= 1));
}

/// Guards against a process that takes the requests of hosts of which it does not know yet, and one that
/// is cut off and takes those of all.
#[test]
fn host_that_does_not_know_the_others_claims_no_more_than_its_share() {
  assert_eq!(COLD_LIMIT.share(1, None).places(), 0);
  assert_eq!(COLD_LIMIT.share(1, Some(0)).places(), 6);
}

/// Guards against a target that takes less than one request a second and gets none at all, or one a second.
#[test]
fn target_that_takes_less_than_one_request_a_second_gets_one_in_a_longer_time() {
  let limit = ColdLimit {
    rate: 0.25,
    overage: 1.0,
    allowance: 0.0,
  };
  let now = Instant::now();
  let key = keys(1)[0];
  let mut throttle = Throttle::default();
  let share = limit.share(7, Some(0));
  assert!(throttle.allows(key, &limit, &share, now));
  assert!(!throttle.allows(key, &limit, &limit.share(7, Some(1)), now));
  throttle.record(key, now);
  assert!(!throttle.allows(key, &limit, &share, now + Duration::from_millis(3_999)));
  assert!(throttle.allows(key, &limit, &share, now + Duration::from_secs(4)));
}

/// Guards against a request that waits for its connection and arrives together with the next ones.
#[test]
fn request_counts_from_when_it_is_sent() {
  let now = Instant::now();
  let key = keys(1)[0];
  let share = COLD_LIMIT.share(12, Some(0));
  let mut throttle = Throttle::default();
  throttle.record(key, now);
  throttle.record_sent(key, now, now + Duration::from_millis(200));
  assert!(!throttle.allows(key, &COLD_LIMIT, &share, now + Duration::from_millis(1_199)));
  assert!(throttle.allows(key, &COLD_LIMIT, &share, now + Duration::from_millis(1_200)));
}

#[test]
fn target_that_asked_for_a_pause_is_chosen_in_no_case() {
  let keys = keys(2);
  let until = Instant::now();
  let mut candidates: Vec<Candidate> =
    keys.iter().map(|key| candidate(*key, load(0, 0, 0))).collect();
  candidates[0].paused_until = Some(until);
  candidates[1].ejected = true;
  let demand = Demand {
    last_resort: true,
    capacity_tokens: None,
    expected_tokens: 0,
  };
  let choice = |candidates: &[Candidate]| choose(candidates.to_vec(), &demand, 1.0, || 0.5);
  assert_eq!(choice(&candidates), Choice::Chosen(keys[1]));
  let later = until + Duration::from_secs(1);
  candidates[1].paused_until = Some(later);
  assert_eq!(choice(&candidates), Choice::Paused(until));
  candidates[0].tried = true;
  assert_eq!(choice(&candidates), Choice::Paused(later));
}

#[test]
fn pause_ends_at_the_latest_time_that_the_target_asked_for() {
  let key = keys(1)[0];
  let now = Instant::now();
  let mut pauses = Pauses::default();
  assert_eq!(pauses.end(key, now), None);
  pauses.record(key, Duration::from_secs(2), now);
  pauses.record(key, Duration::from_secs(1), now);
  let end = now + Duration::from_secs(2);
  assert_eq!(pauses.end(key, end - Duration::from_millis(1)), Some(end));
  assert_eq!(pauses.end(key, end), None);
}

#[test]
fn absurd_pause_is_bounded() {
  let key = keys(1)[0];
  let now = Instant::now();
  let mut pauses = Pauses::default();
  pauses.record(key, Duration::MAX, now);
  assert_eq!(pauses.end(key, now + Duration::from_secs(300)), None);
}

/// Guards against targets that stay passed over after a host has its links back, and against crashed ones
/// that do not.
#[test]
fn ejections_end_with_lost_links_except_those_of_crashed_targets() {
  let now = Instant::now();
  let keys = keys(3);
  let outcomes = [Outcome::Unreachable, Outcome::Crashed, Outcome::Unreachable];
  let mut health = Health::default();
  for (key, outcome) in keys.iter().zip(outcomes) {
    health.record(*key, outcome, now);
  }
  health.forget_unreachable(keys[0]);
  health.forget_unreachable(keys[1]);
  let ejected: Vec<bool> = keys.iter().map(|key| health.is_ejected(*key, now)).collect();
  assert_eq!(ejected, [false, true, true]);
}

/// Guards against loads of other hosts that cannot be added, or taken away again.
#[test]
fn any_loads_of_other_hosts_can_be_added_and_taken_away() {
  let host = |number| SocketAddr::from(([10, 0, 0, number], 80));
  let largest = Load {
    prefill_tokens: u64::MAX,
    transfer_tokens: u64::MAX,
    used_tokens: u64::MAX,
    requests: u32::MAX,
    expected_tokens: u64::MAX,
  };
  // Its tokens outlast the requests of the others.
  let without_requests = load(7, 0, 9);
  let mut table = LoadTable::default();
  for number in 1..=200 {
    let load = if number == 1 {
      without_requests
    } else {
      largest
    };
    table.set_peer_loads(host(number), [(5, load)].into());
  }
  (2..=200).for_each(|number| table.remove_host(host(number)));
  assert_eq!(table.total_load(5), without_requests);
  table.remove_host(host(1));
  assert_eq!(table.total_load(5), Load::default());
}

/// Guards against samples of a large fleet that hold none of the few targets at which a request does least harm: with
/// 81 other hosts a host samples 5 of 64 targets, and one such sample in four holds none of 16.
#[test]
fn samples_hold_targets_with_a_low_surcharge() {
  let keys = keys(64);
  let candidates: Vec<Candidate> = keys
    .iter()
    .enumerate()
    .map(|(index, key)| Candidate {
      surcharge: if index % 4 == 0 { 0.0 } else { 1.0 },
      ..candidate(*key, load(0, 1, 1_000))
    })
    .collect();
  let demand = Demand {
    last_resort: false,
    capacity_tokens: Some(27_000),
    expected_tokens: 3_500,
  };
  let mut seed = 1_u64;
  let mut random = || {
    seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (seed >> 11) as f64 / (1_u64 << 53) as f64
  };
  let mut chosen: HashMap<Key, usize> = HashMap::new();
  for _ in 0..1_000 {
    let Choice::Chosen(key) = choose(
      candidates.clone(),
      &demand,
      sample_fraction(82),
      &mut random,
    ) else {
      panic!("all targets have capacity");
    };
    *chosen.entry(key).or_default() += 1;
  }
  let low: usize = keys.iter().step_by(4).map(|key| chosen.get(key).copied().unwrap_or(0)).sum();
  assert!(low >= 950, "{low}");
  // Hosts with the same picture still choose different ones.
  assert!(chosen.values().all(|count| *count < 250), "{chosen:?}");
}
