use {
  super::*,
  crate::{refusal::Reason, target},
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

proptest! {
  #[test]
  fn account_never_exceeds_its_job_limit(steps in prop::collection::vec((0_u8..3, any::<bool>()), 0..100)) {
    const MAX: u64 = 3;
    let limiter = Limiter::default();
    let mut permits: Vec<(u8, Permit)> = Vec::new();
    for (account, admit) in steps {
      let active = permits.iter().filter(|(other, _)| *other == account).count() as u64;
      if admit {
        let permit = limiter.admit(&account.to_string(), MAX);
        prop_assert_eq!(permit.is_ok(), active < MAX);
        permits.extend(permit.ok().map(|permit| (account, permit)));
      } else if let Some(at) = permits.iter().position(|(other, _)| *other == account) {
        permits.remove(at);
      }
      prop_assert_eq!(limiter.total(), permits.len() as u64);
    }
  }
}

#[test]
fn host_admits_at_most_its_maximum_of_jobs() {
  let limiter = Limiter::default();
  let permits: Vec<Permit> = (0..MAX_JOBS)
    .map(|job| limiter.admit(&format!("account {}", job % 3100), MAX_JOBS).unwrap())
    .collect();
  assert_eq!(limiter.admit("another", 1).unwrap_err(), Reason::HostBusy);
  drop(permits);
  limiter.admit("another", 1).unwrap();
}

#[test]
fn memory_is_bounded_and_released_on_drop() {
  let memory = Memory::new(4096);
  let first = memory.reserve(3000).unwrap();
  assert_eq!(memory.reserve(1025).unwrap_err().reason, Reason::HostBusy);
  let _second = memory.reserve(1024).unwrap();
  drop(first);
  memory.reserve(3072).unwrap();
}

/// Guards against bodies that stop and keep the memory from others, and against evictions in vain.
#[test]
fn reservation_without_progress_for_longest_makes_room() {
  let memory = Memory::new(4096);
  let [first, second] = [(); 2].map(|()| memory.reserve_evictable(1024).unwrap());
  first.record_progress();
  let held = memory.reserve(2048).unwrap();
  assert_eq!(
    memory.reserve(2049).unwrap_err().reason,
    Reason::HostBusy,
    "too much even without both"
  );
  second.grow(1024).unwrap();
  let third = memory.reserve(1024).unwrap();
  assert_eq!(second.grow(2048).unwrap_err().reason, Reason::BodyStalled);
  assert_eq!(second.hold().unwrap_err().reason, Reason::BodyStalled);
  first.hold().unwrap();
  assert_eq!(memory.reserve(1).unwrap_err().reason, Reason::HostBusy);
  drop((first, second, third, held));
  memory.reserve(4096).unwrap();
}

proptest! {
  /// Guards against memory that is lost or given out twice.
  #[test]
  fn reservations_never_exceed_the_budget(steps in prop::collection::vec((0_u8..6, 0_usize..8, 0_u64..5000), 0..200)) {
    const BUDGET: u64 = 8192;
    let memory = Memory::new(BUDGET);
    let mut reservations: Vec<Reservation> = Vec::new();
    for (step, index, bytes) in steps {
      let reservation = (!reservations.is_empty()).then(|| index % reservations.len());
      match (step, reservation) {
        (0, _) => reservations.extend(memory.reserve(bytes)),
        (1, _) => reservations.extend(memory.reserve_evictable(bytes)),
        (2, Some(at)) => drop(reservations[at].grow(bytes)),
        (3, Some(at)) => reservations[at].shrink(bytes),
        (4, Some(at)) => reservations[at].release(),
        (5, Some(at)) => drop(reservations.remove(at)),
        _ => {}
      }
      prop_assert!(memory.reserved() <= BUDGET);
    }
    drop(reservations);
    prop_assert_eq!(memory.reserved(), 0);
    prop_assert!(memory.reserve(BUDGET).is_ok());
  }

  #[test]
  fn retries_are_limited_to_a_share_of_jobs(
    percent in 0_u64..100,
    steps in prop::collection::vec((0_u8..3, any::<bool>()), 0..400),
  ) {
    let mut keys: slotmap::SlotMap<target::Key, ()> = slotmap::SlotMap::with_key();
    let targets = [keys.insert(()), keys.insert(()), keys.insert(())];
    let buckets = RetryBuckets::default();
    let (mut jobs, mut granted) = (0_u64, 0_u64);
    for (index, fails) in steps {
      let target = targets[usize::from(index)];
      jobs += 1;
      buckets.deposit("parents", target, percent);
      granted += u64::from(fails && buckets.try_withdraw("parents", target));
    }
    // A bucket starts with ten retries; the rest is a share of the jobs.
    prop_assert!(granted as f64 <= 10.0 + jobs as f64 * percent as f64 / 100.0);
  }
}

#[test]
fn failing_target_leaves_the_buckets_of_others_full() {
  let mut keys: slotmap::SlotMap<target::Key, ()> = slotmap::SlotMap::with_key();
  let (failing, healthy) = (keys.insert(()), keys.insert(()));
  let buckets = RetryBuckets::default();
  for index in 0..20 {
    assert_eq!(
      buckets.try_withdraw(&format!("account {index}"), failing),
      index < 10
    );
  }
  assert!(buckets.try_withdraw("another", healthy));
}

const BUDGET: RetryBudget = RetryBudget {
  allowance: 52.0,
  share: 0.2,
  window: Duration::from_secs(10),
};

fn seconds(seconds: u64) -> Duration {
  Duration::from_secs(seconds)
}

#[test]
fn new_process_has_no_allowance_in_its_first_window() {
  let start = Instant::now();
  let mut quota = RetryQuota::new(start);
  assert!(!quota.try_acquire("s", &BUDGET, 6, start));
  for _ in 0..5 {
    quota.record_request("s", &BUDGET, start);
  }
  assert!(quota.try_acquire("s", &BUDGET, 6, start));
  assert!(!quota.try_acquire("s", &BUDGET, 6, start));
}

#[test]
fn part_of_the_allowance_is_granted_after_the_first_window() {
  let start = Instant::now();
  let mut quota = RetryQuota::new(start);
  let now = start + BUDGET.window;
  let granted = (0..60).filter(|_| quota.try_acquire("s", &BUDGET, 6, now)).count();
  assert_eq!(granted, 8);
}

#[test]
fn quota_is_restored_as_the_window_slides() {
  let start = Instant::now();
  let mut quota = RetryQuota::new(start);
  let now = start + BUDGET.window;
  while quota.try_acquire("s", &BUDGET, 6, now) {}
  assert!(!quota.try_acquire("s", &BUDGET, 6, now + seconds(9)));
  assert!(quota.try_acquire("s", &BUDGET, 6, now + seconds(10)));
}

/// Guards against requests that are passed on and raise the quota at both hosts.
#[test]
fn request_that_another_host_counts_raises_no_quota() {
  let start = Instant::now();
  let mut quota = RetryQuota::new(start);
  for _ in 0..100 {
    quota.record_request("s", &BUDGET, start);
    quota.withdraw_request("s");
  }
  quota.withdraw_request("t");
  assert!(!quota.try_acquire("s", &BUDGET, 6, start));
}

#[test]
fn services_have_separate_quotas() {
  let start = Instant::now();
  let mut quota = RetryQuota::new(start);
  let now = start + BUDGET.window;
  while quota.try_acquire("s", &BUDGET, 6, now) {}
  assert!(quota.try_acquire("t", &BUDGET, 6, now));
}

proptest! {
  /// Guards against hosts that exceed the budget of a service together because some are
  /// killed and restarted within a window.
  #[test]
  fn quotas_of_all_hosts_never_exceed_the_budget(events in prop::collection::vec((0_usize..6, 0_u8..8, 0_u64..400), 1..400)) {
    let start = Instant::now();
    let mut hosts: Vec<RetryQuota> = (0..6).map(|_| RetryQuota::new(start)).collect();
    let mut now = start + BUDGET.window;
    let mut requests = Vec::new();
    let mut retried: Vec<Instant> = Vec::new();
    for (host, event, pause) in events {
      now += Duration::from_millis(pause);
      match event {
        0 => hosts[host] = RetryQuota::new(now),
        1 | 2 => {
          hosts[host].record_request("s", &BUDGET, now);
          requests.push(now);
        }
        _ => {
          if hosts[host].try_acquire("s", &BUDGET, 6, now) {
            retried.push(now);
          }
        }
      }
      let count_within = |times: &[Instant], end: Instant| {
        let in_window = |at: &&Instant| **at <= end && end.saturating_duration_since(**at) < BUDGET.window;
        times.iter().filter(in_window).count() as f64
      };
      // The budget is met if the retries of a window fit the requests of the same window, or
      // of one that ended half a window or a whole window earlier.
      let ends = [now, now - BUDGET.window / 2, now - BUDGET.window];
      let most_requests = ends.iter().map(|end| count_within(&requests, *end)).fold(0.0, f64::max);
      prop_assert!(count_within(&retried, now) <= BUDGET.share * most_requests + BUDGET.allowance);
    }
  }
}
