use {
  super::*,
  crate::refusal::{Execution, Reason, Refusal},
  std::time::Duration,
};

#[test]
fn refusal_body_parses_as_a_failure() {
  let refusal = Refusal::not_run(Reason::HostLeaving).with_retry_after(Duration::from_millis(20));
  let failure = Failure::parse(refusal.json().as_bytes()).unwrap();
  assert_eq!(failure.code, "host_leaving");
  assert_eq!(failure.ran, Execution::NotRun);
  assert_eq!(failure.retry_after, refusal.retry_after);
}

#[test]
fn body_without_an_error_object_is_not_a_failure() {
  assert_eq!(Failure::parse(b"{\"error\": \"no\"}"), None);
}
