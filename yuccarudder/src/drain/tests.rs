use {
  super::*,
  crate::tree::Knobs,
  std::time::{Duration, Instant},
  yare::parameterized,
};

fn plan(started_at: Instant) -> Plan {
  let knobs = Knobs {
    drain_bound: Duration::from_secs(60),
    entries_keep: Duration::from_secs(10),
    ticket_life: Duration::from_secs(30),
    ..Knobs::default()
  };
  Plan::new(started_at, &knobs)
}

#[parameterized(
  at_once = { 0, Phase::Leaving },
  while_answers_are_kept = { 30, Phase::Leaving },
  after_tickets_and_margin = { 31, Phase::Closed },
  before_the_bound = { 59, Phase::Closed },
  at_the_bound = { 60, Phase::HandingOver },
)]
fn phases(seconds: u64, expected: Phase) {
  let started_at = Instant::now();
  assert_eq!(
    plan(started_at).phase(started_at + Duration::from_secs(seconds)),
    expected
  );
}

#[test]
fn short_bound_does_not_close_early() {
  let knobs = Knobs {
    drain_bound: Duration::from_secs(1),
    ..Knobs::default()
  };
  let plan = Plan::new(Instant::now(), &knobs);
  assert!(plan.handover_delay >= plan.notice_period);
}

#[test]
fn second_begin_changes_nothing() {
  let started_at = Instant::now();
  let drain = Drain::default();
  assert_eq!(drain.phase(started_at), Phase::Serving);
  assert!(drain.start(plan(started_at)));
  assert!(!drain.start(plan(started_at + Duration::from_secs(100))));
  assert_eq!(
    drain.phase(started_at + Duration::from_secs(60)),
    Phase::HandingOver
  );
}

#[tokio::test(start_paused = true)]
async fn handing_over_is_awaited_until_its_time() {
  let started_at = tokio::time::Instant::now();
  let drain = Drain::default();
  drain.start(plan(started_at.into_std()));
  drain.handover_due().await;
  assert_eq!(started_at.elapsed(), Duration::from_secs(60));
}
