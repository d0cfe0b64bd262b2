use {
  super::*,
  crate::tree::Settings,
  std::time::{Duration, Instant},
  yare::parameterized,
};

fn plan(begun: Instant) -> Plan {
  let knobs = Settings {
    drain_bound: Duration::from_secs(60),
    entries_keep: Duration::from_secs(10),
    ticket_life: Duration::from_secs(30),
    ..Settings::default()
  };
  Plan::new(begun, &knobs)
}

#[parameterized(
  at_once = { 0, Phase::Leaving },
  while_answers_are_kept = { 30, Phase::Leaving },
  after_tickets_and_margin = { 31, Phase::Closed },
  before_the_bound = { 59, Phase::Closed },
  at_the_bound = { 60, Phase::HandingOver },
)]
fn phases(seconds: u64, expected: Phase) {
  let begun = Instant::now();
  assert_eq!(
    plan(begun).phase(begun + Duration::from_secs(seconds)),
    expected
  );
}

#[test]
fn short_bound_does_not_close_early() {
  let knobs = Settings {
    drain_bound: Duration::from_secs(1),
    ..Settings::default()
  };
  let plan = Plan::new(Instant::now(), &knobs);
  assert!(plan.hand_over >= plan.quiet);
}

#[test]
fn second_begin_changes_nothing() {
  let begun = Instant::now();
  let drain = Drain::default();
  assert_eq!(drain.phase(begun), Phase::Serving);
  assert!(drain.begin(plan(begun)));
  assert!(!drain.begin(plan(begun + Duration::from_secs(100))));
  assert_eq!(
    drain.phase(begun + Duration::from_secs(60)),
    Phase::HandingOver
  );
}

#[tokio::test(start_paused = true)]
async fn handing_over_is_awaited_until_its_time() {
  let begun = tokio::time::Instant::now();
  let drain = Drain::default();
  drain.begin(plan(begun.into_std()));
  drain.handing_over().await;
  assert_eq!(begun.elapsed(), Duration::from_secs(60));
}
