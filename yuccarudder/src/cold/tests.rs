use {
  super::*,
  crate::owner::Timing,
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

const TIMING: Timing = Timing {
  max_list_age: Duration::from_secs(5),
  grant_lifetime: Duration::from_secs(2),
  list_lag: Duration::from_secs(3),
  report_lag: Duration::from_secs(1),
};

fn request(incarnation: u64, reported_jobs: u64) -> Request {
  Request {
    max_jobs: 3,
    incarnation,
    reported_jobs,
    target: ([10, 0, 0, 1], 80).into(),
  }
}

#[test]
fn grants_are_limited_until_one_is_released() {
  let now = Instant::now();
  let mut grants = Grants::default();
  let granted: Vec<Grant> =
    (0..3).map(|_| grants.grant(request(1, 0), &TIMING, now).unwrap()).collect();
  assert!(grants.grant(request(1, 3), &TIMING, now).is_none());
  grants.release(granted[0]);
  grants.release(granted[0]);
  grants.grant(request(1, 2), &TIMING, now).unwrap();
  assert!(grants.grant(request(1, 3), &TIMING, now).is_none());
}

#[test]
fn jobs_of_an_earlier_owner_count_until_they_end() {
  let now = Instant::now();
  let mut grants = Grants::default();
  grants.grant(request(1, 2), &TIMING, now).unwrap();
  assert!(grants.grant(request(1, 3), &TIMING, now).is_none());
  // A late report that includes the granted job, but not yet the end of an inherited one,
  // changes nothing.
  assert!(grants.grant(request(1, 2), &TIMING, now).is_none());
  grants.grant(request(1, 1), &TIMING, now).unwrap();
}

#[test]
fn restarted_target_is_counted_from_zero() {
  let now = Instant::now();
  let mut grants = Grants::default();
  for _ in 0..3 {
    grants.grant(request(1, 0), &TIMING, now).unwrap();
  }
  grants.grant(request(2, 0), &TIMING, now).unwrap();
}

#[test]
fn late_request_for_an_earlier_process_does_not_raise_the_limit() {
  let now = Instant::now();
  let mut grants = Grants::default();
  for _ in 0..3 {
    grants.grant(request(2, 0), &TIMING, now).unwrap();
  }
  grants.grant(request(1, 0), &TIMING, now).unwrap();
  assert!(grants.grant(request(2, 0), &TIMING, now).is_none());
}

#[test]
fn grant_of_a_host_that_died_stops_counting_once_settled() {
  let now = Instant::now();
  let mut grants = Grants::default();
  for _ in 0..3 {
    grants.grant(request(1, 0), &TIMING, now).unwrap();
  }
  let early = now + TIMING.settle_time() - Duration::from_millis(1);
  assert!(grants.grant(request(1, 0), &TIMING, early).is_none());
  // Two of the three jobs still run.
  let late = now + TIMING.settle_time();
  grants.grant(request(1, 2), &TIMING, late).unwrap();
  assert!(grants.grant(request(1, 2), &TIMING, late).is_none());
}

/// A job at the target: its grant, if the current owner made it, and whether the report
/// includes it.
#[derive(Clone, Copy)]
struct Job {
  grant: Option<Grant>,
  reported: bool,
}

proptest! {
  /// The target never has more than `max_jobs` jobs, whatever an earlier owner granted and
  /// however late the reports are.
  #[test]
  fn target_never_exceeds_its_limit(
    inherited in 0_usize..4,
    events in prop::collection::vec((0_u8..5, any::<prop::sample::Index>()), 0..100),
  ) {
    let mut now = Instant::now();
    let mut grants = Grants::default();
    // A new owner waits until the report includes the jobs of the earlier one.
    let mut jobs = vec![Job { grant: None, reported: true }; inherited];
    let mut ended_but_reported = 0_u64;
    for (kind, index) in events {
      match kind {
        0 | 1 => {
          let reported = jobs.iter().filter(|job| job.reported).count() as u64;
          if let Some(grant) = grants.grant(request(1, reported + ended_but_reported), &TIMING, now) {
            jobs.push(Job { grant: Some(grant), reported: false });
          }
        }
        2 if !jobs.is_empty() => {
          let at = index.index(jobs.len());
          let job = jobs.remove(at);
          ended_but_reported += u64::from(job.reported);
          if let Some(grant) = job.grant {
            grants.release(grant);
          }
        }
        // A host dies: its job ends and its grant is not released.
        3 if !jobs.is_empty() => {
          let job = jobs.remove(index.index(jobs.len()));
          ended_but_reported += u64::from(job.reported);
        }
        _ => {
          now += TIMING.settle_time();
          ended_but_reported = 0;
          jobs.iter_mut().for_each(|job| job.reported = true);
        }
      }
      prop_assert!(jobs.len() <= 3);
    }
  }
}
