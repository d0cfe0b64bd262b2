use super::*;

/// Names a case: outcome, repeatable, runs, runs allowed, tries and the verdict.
macro_rules! decides {
  ($name:ident, $outcome:ident, $repeatable:expr, $possible_runs:expr, $allowed:expr, $attempts:expr, $verdict:expr) => {
    #[test]
    fn $name() {
      let history = History {
        repeatable: $repeatable,
        possible_runs: $possible_runs,
        max_runs: $allowed,
        attempts: $attempts,
      };
      assert_eq!(decide(Outcome::$outcome, &history), $verdict);
    }
  };
}

const AGAIN: Decision = Decision::Retry { needs_budget: true };
const UNSEEN: Decision = Decision::Retry {
  needs_budget: false,
};

decides!(
  booking_that_was_lost_is_unclear,
  Lost,
  false,
  1,
  2,
  1,
  Decision::ReportUnknown
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
  Decision::ForwardAnswer
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
  Decision::ReportUnknown
);
decides!(
  lookup_refused_after_a_run_is_unclear,
  NotRun,
  true,
  2,
  2,
  3,
  Decision::ReportUnknown
);
decides!(
  refused_everywhere,
  NotRun,
  false,
  0,
  1,
  4,
  Decision::ReportNotRun
);
decides!(
  reached_nowhere,
  NotSent,
  true,
  0,
  2,
  4,
  Decision::ReportNotRun
);

#[test]
fn what_may_not_be_repeated_never_runs_twice() {
  let outcomes = [
    Outcome::Failed,
    Outcome::Lost,
    Outcome::NotRun,
    Outcome::NotSent,
  ];
  for outcome in outcomes {
    for attempts in 1..6 {
      let history = History {
        repeatable: false,
        possible_runs: 1,
        max_runs: 9,
        attempts,
      };
      assert!(!matches!(decide(outcome, &history), Decision::Retry { .. }));
      assert_ne!(decide(outcome, &history), Decision::ReportNotRun);
    }
  }
}
