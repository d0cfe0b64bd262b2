use {
  super::*,
  crate::{refusal::Reason, target},
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

proptest! {
  #[test]
  fn account_never_has_more_than_its_limit(steps in prop::collection::vec((0_u8..3, any::<bool>()), 0..100)) {
    const MAX: u64 = 3;
    let limits = Limiter::default();
    let mut places: Vec<(u8, Permit)> = Vec::new();
    for (account, admit) in steps {
      let held = places.iter().filter(|(other, _)| *other == account).count() as u64;
      if admit {
        let place = limits.admit(&account.to_string(), MAX);
        prop_assert_eq!(place.is_ok(), held < MAX);
        places.extend(place.ok().map(|place| (account, place)));
      } else if let Some(at) = places.iter().position(|(other, _)| *other == account) {
        places.remove(at);
      }
      prop_assert_eq!(limits.total(), places.len() as u64);
    }
  }
}

#[test]
fn host_holds_a_bounded_number_of_jobs() {
  let limits = Limiter::default();
  let places: Vec<Permit> = (0..MAX_JOBS)
    .map(|job| limits.admit(&format!("account {}", job % 3100), MAX_JOBS).unwrap())
    .collect();
  assert_eq!(limits.admit("another", 1).unwrap_err(), Reason::HostBusy);
  drop(places);
  limits.admit("another", 1).unwrap();
}

#[test]
fn memory_is_bounded_and_given_back() {
  let memory = Memory::new(4096);
  let first = memory.reserve(3000).unwrap();
  assert_eq!(memory.reserve(1025).unwrap_err().reason, Reason::HostBusy);
  let _second = memory.reserve(1024).unwrap();
  drop(first);
  memory.reserve(3072).unwrap();
}

proptest! {
  #[test]
  fn retries_are_a_bounded_share_of_jobs(
    percent in 0_u64..100,
    steps in prop::collection::vec((0_u8..3, any::<bool>()), 0..400),
  ) {
    let mut slots: slotmap::SlotMap<target::Key, ()> = slotmap::SlotMap::with_key();
    let targets = [slots.insert(()), slots.insert(()), slots.insert(())];
    let retries = RetryBuckets::default();
    let (mut jobs, mut spent) = (0_u64, 0_u64);
    for (index, fails) in steps {
      let target = targets[usize::from(index)];
      jobs += 1;
      retries.deposit("parents", target, percent);
      spent += u64::from(fails && retries.try_withdraw("parents", target));
    }
    // Ten may be saved up; the rest is a share of the jobs.
    prop_assert!(spent as f64 <= 10.0 + jobs as f64 * percent as f64 / 100.0);
  }
}

#[test]
fn failing_target_spends_no_other_target_s_budget() {
  let mut slots: slotmap::SlotMap<target::Key, ()> = slotmap::SlotMap::with_key();
  let (bad, good) = (slots.insert(()), slots.insert(()));
  let retries = RetryBuckets::default();
  for index in 0..20 {
    assert_eq!(
      retries.try_withdraw(&format!("account {index}"), bad),
      index < 10
    );
  }
  assert!(retries.try_withdraw("another", good));
}

const BOUND: RetryBudget = RetryBudget {
  allowance: 52.0,
  share: 0.2,
  window: Duration::from_secs(10),
};

fn seconds(seconds: u64) -> Duration {
  Duration::from_secs(seconds)
}

#[test]
fn young_process_has_only_the_share_of_its_requests() {
  let start = Instant::now();
  let mut repeats = RetryQuota::new(start);
  assert!(!repeats.try_acquire("s", &BOUND, 6, start));
  for _ in 0..5 {
    repeats.record_request("s", &BOUND, start);
  }
  assert!(repeats.try_acquire("s", &BOUND, 6, start));
  assert!(!repeats.try_acquire("s", &BOUND, 6, start));
}

#[test]
fn part_of_the_allowance_comes_with_the_first_window() {
  let start = Instant::now();
  let mut repeats = RetryQuota::new(start);
  let now = start + BOUND.window;
  let spent = (0..60).filter(|_| repeats.try_acquire("s", &BOUND, 6, now)).count();
  assert_eq!(spent, 8);
}

#[test]
fn repeats_come_back_with_the_window() {
  let start = Instant::now();
  let mut repeats = RetryQuota::new(start);
  let now = start + BOUND.window;
  while repeats.try_acquire("s", &BOUND, 6, now) {}
  assert!(!repeats.try_acquire("s", &BOUND, 6, now + seconds(9)));
  assert!(repeats.try_acquire("s", &BOUND, 6, now + seconds(10)));
}

#[test]
fn services_have_their_own_budgets() {
  let start = Instant::now();
  let mut repeats = RetryQuota::new(start);
  let now = start + BOUND.window;
  while repeats.try_acquire("s", &BOUND, 6, now) {}
  assert!(repeats.try_acquire("t", &BOUND, 6, now));
}

proptest! {
  /// Hosts that are killed and start again at any time stay within the whole budget in
  /// every window.
  #[test]
  fn parts_never_exceed_the_whole(events in prop::collection::vec((0_usize..6, 0_u8..8, 0_u64..400), 1..400)) {
    let start = Instant::now();
    let mut hosts: Vec<RetryQuota> = (0..6).map(|_| RetryQuota::new(start)).collect();
    let mut now = start + BOUND.window;
    let mut requests = Vec::new();
    let mut repeated: Vec<Instant> = Vec::new();
    for (host, event, pause) in events {
      now += Duration::from_millis(pause);
      match event {
        0 => hosts[host] = RetryQuota::new(now),
        1 | 2 => {
          hosts[host].record_request("s", &BOUND, now);
          requests.push(now);
        }
        _ => {
          if hosts[host].try_acquire("s", &BOUND, 6, now) {
            repeated.push(now);
          }
        }
      }
      let within = |times: &[Instant], end: Instant| {
        let inside = |at: &&Instant| **at <= end && end.saturating_duration_since(**at) < BOUND.window;
        times.iter().filter(inside).count() as f64
      };
      // The users set a window's repeats against its requests, or those of a window that
      // began a half or a whole one earlier.
      let ends = [now, now - BOUND.window / 2, now - BOUND.window];
      let most = ends.iter().map(|end| within(&requests, *end)).fold(0.0, f64::max);
      prop_assert!(within(&repeated, now) <= BOUND.share * most + BOUND.allowance);
    }
  }
}
