use {
  super::*,
  crate::tree::Settings,
  std::time::{Duration, Instant},
  yare::parameterized,
};

fn plan(started_at: Instant) -> Plan {
  let settings = Settings {
    drain_bound: Duration::from_secs(60),
    entries_keep: Duration::from_secs(10),
    ticket_life: Duration::from_secs(30),
    ..Settings::default()
  };
  Plan::new(started_at, &settings)
}

#[parameterized(
  at_the_start = { 0, Phase::Leaving },
  at_the_end_of_the_ticket_life = { 30, Phase::Leaving },
  after_the_ticket_life_and_the_margin = { 31, Phase::Closed },
  before_the_drain_bound = { 59, Phase::Closed },
  at_the_drain_bound = { 60, Phase::HandingOver },
)]
fn phase_follows_the_plan(seconds: u64, expected: Phase) {
  let started_at = Instant::now();
  assert_eq!(
    plan(started_at).phase(started_at + Duration::from_secs(seconds)),
    expected
  );
}

#[test]
fn short_drain_bound_does_not_shorten_the_notice_period() {
  let settings = Settings {
    drain_bound: Duration::from_secs(1),
    ..Settings::default()
  };
  let plan = Plan::new(Instant::now(), &settings);
  assert!(plan.handover_delay >= plan.notice_period);
}

#[test]
fn second_start_has_no_effect() {
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
async fn handover_is_due_after_the_drain_bound() {
  let started_at = tokio::time::Instant::now();
  let drain = Drain::default();
  drain.start(plan(started_at.into_std()));
  drain.handover_due().await;
  assert_eq!(started_at.elapsed(), Duration::from_secs(60));
}
