use super::*;

/// Defines a test: what a target shows after a response of three events to request `a`, and the verdict.
macro_rules! verdict_test {
  ($name:ident, $sign:expr, $verdict:ident) => {
    #[test]
    fn $name() {
      assert_eq!(judge(&$sign, "a", 3), Verdict::$verdict);
    }
  };
}

fn runs<const N: usize>(runs: [(&str, u64); N]) -> Sign {
  Sign::Runs(runs.into_iter().map(|(id, events)| (id.to_owned(), events)).collect())
}

// Guards against responses of killed processes that count as whole.
verdict_test!(target_that_is_gone, Sign::Gone, Cut);
verdict_test!(target_that_does_not_answer, Sign::Silent, Open);
verdict_test!(
  target_without_a_place_for_the_question,
  Sign::Listens,
  Whole
);
verdict_test!(engine_without_runs, runs([]), Whole);
verdict_test!(engine_that_runs_other_requests, runs([("b", 9)]), Whole);
// Guards against lost answers of live engines that count as whole.
verdict_test!(engine_that_has_more_of_it, runs([("b", 1), ("a", 4)]), Cut);
verdict_test!(engine_whose_report_may_be_older, runs([("a", 3)]), Open);
verdict_test!(engine_whose_report_is_older, runs([("a", 1)]), Open);
