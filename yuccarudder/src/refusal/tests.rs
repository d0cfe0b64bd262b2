use {super::*, std::time::Duration};

#[test]
fn reason_names_are_unique_and_sorted() {
  let names: Vec<&str> = Reason::ALL.iter().map(|reason| reason.name()).collect();
  let mut sorted = names.clone();
  sorted.sort_unstable();
  sorted.dedup();
  assert_eq!(names, sorted);
}

#[test]
fn every_reason_name_parses_back() {
  for reason in Reason::ALL {
    assert_eq!(Reason::from_name(reason.name()), Some(*reason));
  }
}

#[test]
fn json_matches_the_error_format_of_client_libraries() {
  let refusal = Refusal::not_run(Reason::TargetsBusy)
    .with_detail("3 of 3")
    .with_retry_after(Duration::from_millis(500));
  assert_eq!(
    refusal.json(),
    r#"{"error":{"code":"targets_busy","message":"Every target of this service is busy. (3 of 3)","param":null,"ran":"not_run","retry_after_ms":500,"type":"rate_limit_error"}}"#
  );
}

#[test]
fn unrecognised_execution_name_is_unknown() {
  assert_eq!(Execution::from_name("surely_not"), Execution::Unknown);
}
