use {
  super::*,
  crate::owner::Timing,
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

const TERMS: Timing = Timing {
  fresh: Duration::from_secs(5),
  grant: Duration::from_secs(2),
  lag: Duration::from_secs(3),
  report: Duration::from_secs(1),
};

fn request(incarnation: u64, reported: u64) -> Request {
  Request {
    bears: 3,
    incarnation,
    reported,
    target: ([10, 0, 0, 1], 80).into(),
  }
}

#[test]
fn places_are_bounded_and_come_back() {
  let now = Instant::now();
  let mut ledger = Grants::default();
  let grants: Vec<Grant> =
    (0..3).map(|_| ledger.grant(request(1, 0), &TERMS, now).unwrap()).collect();
  assert!(ledger.grant(request(1, 3), &TERMS, now).is_none());
  ledger.release(grants[0]);
  ledger.release(grants[0]);
  ledger.grant(request(1, 2), &TERMS, now).unwrap();
  assert!(ledger.grant(request(1, 3), &TERMS, now).is_none());
}

#[test]
fn jobs_of_an_earlier_owner_count_until_they_end() {
  let now = Instant::now();
  let mut ledger = Grants::default();
  ledger.grant(request(1, 2), &TERMS, now).unwrap();
  assert!(ledger.grant(request(1, 3), &TERMS, now).is_none());
  // A late report that shows the own job but not the others' end changes nothing.
  assert!(ledger.grant(request(1, 2), &TERMS, now).is_none());
  ledger.grant(request(1, 1), &TERMS, now).unwrap();
}

#[test]
fn restarted_target_starts_anew() {
  let now = Instant::now();
  let mut ledger = Grants::default();
  for _ in 0..3 {
    ledger.grant(request(1, 0), &TERMS, now).unwrap();
  }
  ledger.grant(request(2, 0), &TERMS, now).unwrap();
}

#[test]
fn late_request_for_an_earlier_process_frees_nothing() {
  let now = Instant::now();
  let mut ledger = Grants::default();
  for _ in 0..3 {
    ledger.grant(request(2, 0), &TERMS, now).unwrap();
  }
  ledger.grant(request(1, 0), &TERMS, now).unwrap();
  assert!(ledger.grant(request(2, 0), &TERMS, now).is_none());
}

#[test]
fn place_whose_holder_died_comes_back_once_settled() {
  let now = Instant::now();
  let mut ledger = Grants::default();
  for _ in 0..3 {
    ledger.grant(request(1, 0), &TERMS, now).unwrap();
  }
  let early = now + TERMS.settle_time() - Duration::from_millis(1);
  assert!(ledger.grant(request(1, 0), &TERMS, early).is_none());
  // Two of the three jobs still run.
  let late = now + TERMS.settle_time();
  ledger.grant(request(1, 2), &TERMS, late).unwrap();
  assert!(ledger.grant(request(1, 2), &TERMS, late).is_none());
}

/// A job at the target: whose grant it came from and whether the report shows it.
#[derive(Clone, Copy)]
struct Job {
  grant: Option<Grant>,
  shown: bool,
}

proptest! {
  /// Jobs of an earlier owner and late reports never take a target beyond what it bears.
  #[test]
  fn target_never_has_more_than_it_bears(
    earlier in 0_usize..4,
    events in prop::collection::vec((0_u8..5, any::<prop::sample::Index>()), 0..100),
  ) {
    let mut now = Instant::now();
    let mut ledger = Grants::default();
    // The wait of a new owner makes the jobs of the earlier one show.
    let mut jobs = vec![Job { grant: None, shown: true }; earlier];
    let mut ended_but_shown = 0_u64;
    for (kind, index) in events {
      match kind {
        0 | 1 => {
          let shown = jobs.iter().filter(|job| job.shown).count() as u64;
          if let Some(grant) = ledger.grant(request(1, shown + ended_but_shown), &TERMS, now) {
            jobs.push(Job { grant: Some(grant), shown: false });
          }
        }
        2 if !jobs.is_empty() => {
          let at = index.index(jobs.len());
          let job = jobs.remove(at);
          ended_but_shown += u64::from(job.shown);
          if let Some(grant) = job.grant {
            ledger.release(grant);
          }
        }
        // A holder dies: its job ends and its place is not given back.
        3 if !jobs.is_empty() => {
          let job = jobs.remove(index.index(jobs.len()));
          ended_but_shown += u64::from(job.shown);
        }
        _ => {
          now += TERMS.settle_time();
          ended_but_shown = 0;
          jobs.iter_mut().for_each(|job| job.shown = true);
        }
      }
      prop_assert!(jobs.len() <= 3);
    }
  }
}
