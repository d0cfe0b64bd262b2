use super::*;

/// Names a case: outcome, repeatable, runs, runs allowed, tries and the verdict.
macro_rules! decides {
  ($name:ident, $outcome:ident, $repeatable:expr, $runs:expr, $allowed:expr, $tries:expr, $verdict:expr) => {
    #[test]
    fn $name() {
      let state = State {
        repeatable: $repeatable,
        runs: $runs,
        runs_allowed: $allowed,
        tries: $tries,
      };
      assert_eq!(decide(Outcome::$outcome, &state), $verdict);
    }
  };
}

const AGAIN: Verdict = Verdict::Retry { arrives: true };
const UNSEEN: Verdict = Verdict::Retry { arrives: false };

decides!(
  booking_that_was_lost_is_unclear,
  Lost,
  false,
  1,
  2,
  1,
  Verdict::Unknown
);
decides!(
  booking_that_did_not_run_goes_elsewhere,
  NotRun,
  false,
  0,
  1,
  1,
  AGAIN
);
decides!(
  booking_that_was_not_sent_goes_elsewhere,
  NotSent,
  false,
  0,
  1,
  1,
  UNSEEN
);
decides!(
  booking_that_failed_is_passed_on,
  Failed,
  false,
  1,
  2,
  1,
  Verdict::PassOn
);
decides!(lookup_that_was_lost_runs_again, Lost, true, 1, 2, 1, AGAIN);
decides!(lookup_that_failed_runs_again, Failed, true, 1, 2, 1, AGAIN);
decides!(
  lookup_that_ran_as_often_as_allowed,
  Lost,
  true,
  2,
  2,
  2,
  Verdict::Unknown
);
decides!(
  lookup_refused_after_a_run_is_unclear,
  NotRun,
  true,
  2,
  2,
  3,
  Verdict::Unknown
);
decides!(refused_everywhere, NotRun, false, 0, 1, 4, Verdict::Refuse);
decides!(reached_nowhere, NotSent, true, 0, 2, 4, Verdict::Refuse);

#[test]
fn what_may_not_be_repeated_never_runs_twice() {
  let outcomes = [
    Outcome::Failed,
    Outcome::Lost,
    Outcome::NotRun,
    Outcome::NotSent,
  ];
  for outcome in outcomes {
    for tries in 1..6 {
      let state = State {
        repeatable: false,
        runs: 1,
        runs_allowed: 9,
        tries,
      };
      assert!(!matches!(decide(outcome, &state), Verdict::Retry { .. }));
      assert_ne!(decide(outcome, &state), Verdict::Refuse);
    }
  }
}
