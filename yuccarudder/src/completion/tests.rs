use {super::*, crate::relocation::REPORT_LAG, std::time::Duration};

/// A stream of three events, long after its head.
const STREAM: Ended<'_> = Ended {
  request_id: "a",
  events: Some(3),
  since_head: REPORT_LAG,
  questions: 1,
};

/// Defines a test: a response, what its target shows after its end, and the verdict.
macro_rules! verdict_test {
  ($name:ident, $ended:expr, $sign:expr, $verdict:ident) => {
    #[test]
    fn $name() {
      assert_eq!($ended.judge(&$sign), Verdict::$verdict);
    }
  };
}

fn runs<const N: usize>(runs: [(&str, Option<u64>); N]) -> Sign {
  Sign::Runs(runs.into_iter().map(|(id, events)| (id.to_owned(), events)).collect())
}

// Guards against responses of killed processes that count as whole.
verdict_test!(target_that_is_gone, STREAM, Sign::Gone, Cut);
verdict_test!(target_that_does_not_answer, STREAM, Sign::Silent, Open);
verdict_test!(target_that_answers, STREAM, Sign::Answers, Whole);
verdict_test!(engine_without_runs, STREAM, runs([]), Whole);
verdict_test!(
  engine_that_runs_other_requests,
  STREAM,
  runs([("b", Some(9))]),
  Whole
);
// Guards against lost answers of live engines that count as whole.
verdict_test!(
  engine_that_has_more_of_it,
  STREAM,
  runs([("b", Some(1)), ("a", Some(4))]),
  Cut
);
verdict_test!(
  engine_whose_report_may_be_older,
  STREAM,
  runs([("a", Some(3))]),
  Open
);
verdict_test!(
  engine_whose_report_is_older,
  STREAM,
  runs([("a", Some(1))]),
  Open
);
verdict_test!(
  engine_that_does_not_count_events,
  STREAM,
  runs([("a", None)]),
  Open
);
// Guards against lost answers of runs that had not begun when the report was made.
verdict_test!(
  engine_whose_report_is_older_than_the_run,
  Ended {
    since_head: REPORT_LAG - Duration::from_millis(1),
    ..STREAM
  },
  runs([]),
  Open
);
// Guards against whole responses that are thrown away because they are no streams.
verdict_test!(
  plain_response_of_an_engine_that_may_have_ended_it,
  Ended {
    events: None,
    ..STREAM
  },
  runs([("a", Some(7))]),
  Open
);
// Guards against a process that has just taken the address and counts as the one before it.
verdict_test!(
  target_that_has_no_place_for_the_first_question,
  STREAM,
  Sign::Listens,
  Open
);
verdict_test!(
  target_that_has_no_place_for_the_second_question,
  Ended {
    questions: 2,
    ..STREAM
  },
  Sign::Listens,
  Whole
);
