use {super::*, std::time::Duration};

/// Defines a test: the outcome, the fields of the history and the expected decision.
macro_rules! decides {
  ($name:ident, $outcome:ident, $repeatable:expr, $possible_runs:expr, $max_runs:expr, $attempts:expr, $decision:expr) => {
    #[test]
    fn $name() {
      let history = History {
        repeatable: $repeatable,
        possible_runs: $possible_runs,
        max_runs: $max_runs,
        attempts: $attempts,
      };
      assert_eq!(decide(Outcome::$outcome, &history), $decision);
    }
  };
}

const RETRY_WITH_BUDGET: Decision = Decision::Retry { needs_budget: true };
const RETRY_WITHOUT_BUDGET: Decision = Decision::Retry {
  needs_budget: false,
};

decides!(
  lost_at_most_once_request_is_reported_as_unknown,
  Lost,
  false,
  1,
  2,
  1,
  Decision::ReportUnknown
);
decides!(
  at_most_once_request_that_did_not_run_is_retried,
  NotRun,
  false,
  0,
  1,
  1,
  RETRY_WITH_BUDGET
);
decides!(
  at_most_once_request_that_was_not_sent_is_retried_without_budget,
  NotSent,
  false,
  0,
  1,
  1,
  RETRY_WITHOUT_BUDGET
);
decides!(
  response_to_a_failed_at_most_once_request_is_forwarded,
  Failed,
  false,
  1,
  2,
  1,
  Decision::ForwardResponse
);
decides!(
  lost_idempotent_request_is_retried,
  Lost,
  true,
  1,
  2,
  1,
  RETRY_WITH_BUDGET
);
decides!(
  failed_idempotent_request_is_retried,
  Failed,
  true,
  1,
  2,
  1,
  RETRY_WITH_BUDGET
);
decides!(
  lost_idempotent_request_at_the_run_limit_is_reported_as_unknown,
  Lost,
  true,
  2,
  2,
  2,
  Decision::ReportUnknown
);
decides!(
  idempotent_request_refused_after_a_run_is_reported_as_unknown,
  NotRun,
  true,
  2,
  2,
  3,
  Decision::ReportUnknown
);
decides!(
  refused_by_all_targets,
  NotRun,
  false,
  0,
  1,
  4,
  Decision::ReportNotRun
);
decides!(
  all_targets_unreachable,
  NotSent,
  true,
  0,
  2,
  4,
  Decision::ReportNotRun
);

#[test]
fn request_that_is_not_repeatable_never_runs_twice() {
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

/// Defines a test: the fields of the history, the time left and the expected delay of another attempt, in
/// milliseconds.
macro_rules! hedges {
  ($name:ident, $repeatable:expr, $possible_runs:expr, $max_runs:expr, $left_ms:expr, $delay_ms:expr) => {
    #[test]
    fn $name() {
      let history = History {
        repeatable: $repeatable,
        possible_runs: $possible_runs,
        max_runs: $max_runs,
        attempts: $possible_runs,
      };
      let delay = hedge_delay(&history, Duration::from_millis($left_ms));
      let expected: Option<u64> = $delay_ms;
      assert_eq!(delay, expected.map(Duration::from_millis));
    }
  };
}

hedges!(silent_idempotent_request, true, 1, 2, 1000, Some(400));
hedges!(
  silent_idempotent_request_at_two_of_three,
  true,
  2,
  3,
  600,
  Some(240)
);
hedges!(
  silent_idempotent_request_at_the_run_limit,
  true,
  2,
  2,
  1000,
  None
);
hedges!(silent_at_most_once_request, false, 1, 2, 1000, None);
hedges!(silent_request_at_its_deadline, true, 1, 2, 19, None);
