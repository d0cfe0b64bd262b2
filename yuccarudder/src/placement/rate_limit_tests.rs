use {
  super::*,
  crate::{member, roster::Key},
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  slotmap::SlotMap,
  std::{
    collections::HashSet,
    time::{Duration, Instant},
  },
};

/// Time in which all hosts are to know a limit.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from a response that names a limit until the host counts as notified.
const TOLD_AFTER: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);
/// When the limit of a simulated target changes.
const CHANGE: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(40);

const ALONE: LimitShare = LimitShare {
  hosts: 1,
  position: Some(0),
};

fn key() -> Key {
  SlotMap::<Key, ()>::with_key().insert(())
}

fn ms(milliseconds: u64) -> Duration {
  Duration::from_millis(milliseconds)
}

fn statement(rate: Option<f64>, at: Instant) -> LimitStatement {
  LimitStatement { at, rate }
}

#[test]
fn target_without_a_limit_takes_requests_at_once() {
  let (key, now) = (key(), Instant::now());
  let mut limits = RateLimits::default();
  assert!(!limits.record(key, statement(None, now), true, now));
  assert_eq!(
    (limits.limit(key), limits.next_at(key, &ALONE, now)),
    (None, None)
  );
  assert_eq!(limits.own_statements(now).count(), 0);
}

#[test]
fn limit_allows_one_request_per_interval_and_saves_one_at_most() {
  let (key, start) = (key(), Instant::now());
  let mut limits = RateLimits::default();
  // Two hosts are assumed, so that one that does not know the others leaves them a share.
  assert!(limits.record(key, statement(Some(4.0), start), true, start));
  assert_eq!(limits.next_at(key, &ALONE, start), Some(start + ms(500)));
  let later = start + ms(10_000);
  assert_eq!(limits.next_at(key, &ALONE, later), None);
  limits.take(key, 1.0, &ALONE, later);
  assert_eq!(limits.next_at(key, &ALONE, later), Some(later + ms(500)));
}

#[test]
fn calls_beyond_the_share_delay_later_requests() {
  let (key, start) = (key(), Instant::now());
  let mut limits = RateLimits::default();
  limits.record(key, statement(Some(4.0), start), true, start);
  let later = start + ms(500);
  limits.take(key, 3.0, &ALONE, later);
  assert_eq!(limits.next_at(key, &ALONE, later), Some(later + ms(1_500)));
}

#[test]
fn callers_that_are_refused_return_one_after_the_other() {
  let (key, start) = (key(), Instant::now());
  let mut limits = RateLimits::default();
  limits.record(key, statement(Some(4.0), start), true, start);
  let times: Vec<_> = (0..3).map(|_| limits.promise(key, &ALONE, start)).collect();
  assert_eq!(
    times,
    [500, 1_000, 1_500].map(|time| Some(start + ms(time)))
  );
}

#[test]
fn newest_statement_counts_whoever_received_it() {
  let (key, start) = (key(), Instant::now());
  let mut limits = RateLimits::default();
  limits.record(
    key,
    statement(Some(4.0), start + ms(100)),
    true,
    start + ms(100),
  );
  limits.record(key, statement(Some(9.0), start), false, start + ms(200));
  assert_eq!(limits.limit(key), Some(4.0));
  assert!(limits.record(
    key,
    statement(Some(1.0), start + ms(150)),
    false,
    start + ms(200)
  ));
  assert_eq!(limits.limit(key), Some(1.0));
  assert!(limits.record(key, statement(None, start + ms(300)), true, start + ms(300)));
  assert_eq!(
    (
      limits.limit(key),
      limits.next_at(key, &ALONE, start + ms(300))
    ),
    (None, None)
  );
  // The others are notified that the limit ended, for some time.
  assert_eq!(limits.own_statements(start + ms(400)).count(), 1);
  assert_eq!(limits.own_statements(start + ms(9_000)).count(), 0);
}

#[test]
fn host_that_does_not_know_the_others_has_no_share() {
  let (key, start) = (key(), Instant::now());
  let mut limits = RateLimits::default();
  limits.record(key, statement(Some(100.0), start), false, start);
  let share = LimitShare {
    hosts: 1,
    position: None,
  };
  assert!(limits.next_at(key, &share, start + ms(60_000)).is_some());
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
  /// Requests per second that callers send to each host.
  demand: f64,
  hosts: usize,
  /// Hosts that join in the course.
  joining: usize,
  /// Fraction of the messages between hosts that are lost.
  loss: f64,
  /// Limit of the target at first, and after `CHANGE`.
  rates: [f64; 2],
  /// Whether hosts die and start again.
  restarts: bool,
  seed: u64,
}

/// A host of a simulated fleet.
struct Host {
  known: HashSet<usize>,
  limits: RateLimits,
  /// When the target itself first stated the limit to it.
  told_at: Option<Instant>,
}

/// Runs a fleet that sends requests to one target; returns the times of the requests of hosts that
/// had been notified, and of all.
fn run(scenario: &Scenario) -> (Instant, Vec<Instant>, Vec<Instant>) {
  let (key, start) = (key(), Instant::now());
  let mut random = StdRng::seed_from_u64(scenario.seed);
  let count = scenario.hosts + scenario.joining;
  // The order of the hosts for this target.
  let order: Vec<u64> = (0..count).map(|_| random.random()).collect();
  let new_host = || Host {
    known: HashSet::new(),
    limits: RateLimits::default(),
    told_at: None,
  };
  let mut hosts: Vec<Host> = (0..count).map(|_| new_host()).collect();
  for host in &mut hosts[..scenario.hosts] {
    host.known = (0..scenario.hosts).collect();
  }
  let mut messages: Vec<(Instant, usize, usize, Vec<LimitStatement>)> = Vec::new();
  let (mut told, mut all) = (Vec::new(), Vec::new());
  let mut now = start;
  while now < start + END {
    now += STEP;
    let step = ((now - start).as_millis() / STEP.as_millis()) as usize;
    let running = scenario.hosts + scenario.joining * usize::from(now >= start + ms(12_000));
    let rate = scenario.rates[usize::from(now >= start + CHANGE)];
    if scenario.restarts && random.random_range(0.0..1.0) < 0.3 * STEP.as_secs_f64() {
      let host = random.random_range(0..running);
      hosts[host] = new_host();
    }
    for index in 0..running {
      let host = &mut hosts[index];
      host.known.insert(index);
      let share = LimitShare {
        hosts: host.known.len(),
        position: (host.known.len() > 1 || count == 1)
          .then(|| host.known.iter().filter(|other| order[**other] < order[index]).count()),
      };
      let arrives = random.random_range(0.0..1.0) < scenario.demand * STEP.as_secs_f64();
      if arrives && host.limits.next_at(key, &share, now).is_none() {
        host.limits.take(key, 1.0, &share, now);
        host.limits.record(key, statement(Some(rate), now), true, now);
        if host.told_at.is_some_and(|at| now >= at + TOLD_AFTER) {
          told.push(now);
        }
        all.push(now);
        host.told_at.get_or_insert(now);
      }
      let interval = member::heartbeat_interval(running).as_millis() / STEP.as_millis();
      if (step + index).is_multiple_of(interval as usize) {
        let statements: Vec<_> =
          hosts[index].limits.own_statements(now).map(|(_, statement)| statement).collect();
        for recipient in (0..running).filter(|recipient| *recipient != index) {
          if random.random_range(0.0..1.0) >= scenario.loss {
            let at = now + STEP * random.random_range(1..4);
            messages.push((at, index, recipient, statements.clone()));
          }
        }
      }
    }
    for (_, sender, recipient, statements) in messages.extract_if(.., |(at, ..)| *at <= now) {
      let host = &mut hosts[recipient];
      host.known.insert(sender);
      for statement in statements {
        host.limits.record(key, statement, false, now);
      }
    }
  }
  (start, told, all)
}

/// Checks every window that lies within a period in which the target named one rate.
fn check(start: Instant, requests: &[Instant], scenario: &Scenario) -> Result<(), TestCaseError> {
  for (index, from) in requests.iter().enumerate() {
    let changed = *from >= start + CHANGE;
    let since = if changed { start + CHANGE } else { start };
    let end = *from + WINDOW;
    if *from < since + CONTACT || (!changed && end >= start + CHANGE) {
      continue;
    }
    let count = requests[index..].iter().take_while(|at| **at < end).count();
    let rate = scenario.rates[usize::from(changed)];
    let allowed = 1.5 * WINDOW.as_secs_f64() * rate + 5.0;
    prop_assert!(
      count as f64 <= allowed,
      "{count} requests where {allowed} are allowed"
    );
  }
  Ok(())
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

  /// Guards against hosts that together exceed the limit of a target: whatever the demand and the
  /// number of hosts, with limits that rise and fall, lost messages, restarts and new hosts.
  #[test]
  fn hosts_together_keep_within_a_limit(
    hosts in prop::sample::select(vec![1_usize, 2, 6, 12, 42]),
    demand in prop::sample::select(vec![0.2, 2.0, 20.0]),
    joining in 0..=2_usize,
    loss in prop::sample::select(vec![0.0, 0.3]),
    rates in [prop::sample::select(vec![0.1, 0.5, 1.0, 3.3, 6.0, 20.0]),
              prop::sample::select(vec![0.1, 0.5, 1.0, 3.3, 6.0, 20.0])],
    restarts: bool,
    seed: u64,
  ) {
    let scenario = Scenario { demand, hosts, joining, loss, rates, restarts, seed };
    let (start, told, _) = run(&scenario);
    check(start, &told, &scenario)?;
  }
}

/// Guards against limits that are exceeded, or of use to nobody, where the part of each host is a
/// request in many seconds, or one a second.
#[test]
fn large_fleet_keeps_within_limits_and_uses_them() {
  for rate in [0.5, 3.0, 295.0] {
    let scenario = Scenario {
      demand: 5.0,
      hosts: 295,
      joining: 0,
      loss: 0.1,
      rates: [rate, rate],
      restarts: false,
      seed: 3,
    };
    let (start, told, all) = run(&scenario);
    check(start, &told, &scenario).unwrap();
    let used = all.iter().filter(|at| **at >= start + CONTACT).count() as f64;
    let limit = rate * (END - CONTACT).as_secs_f64();
    assert!(used >= 0.8 * limit, "{used} of {limit} requests");
  }
}

/// Prints what part of the limits callers get when they come evenly to all hosts and all targets
/// are limited.
#[test]
#[ignore = "prints the figures of docs/MEASUREMENTS.md; run it with --nocapture"]
fn report_use_of_limits() {
  for (hosts, rate, demand) in [
    (6, 3.0, 39.0),
    (75, 3.0, 120.0),
    (295, 3.0, 120.0),
    (295, 30.0, 120.0),
  ] {
    let scenario = Scenario {
      demand: demand / hosts as f64,
      hosts,
      joining: 0,
      loss: 0.0,
      rates: [rate, rate],
      restarts: false,
      seed: 5,
    };
    let (start, _, all) = run(&scenario);
    let used = all.iter().filter(|at| **at >= start + CONTACT).count() as f64;
    let part = used / (rate * (END - CONTACT).as_secs_f64());
    println!(
      "{hosts} hosts, limit {rate}/s, {demand} requests/s in all: {part:.2} of the limit used"
    );
  }
}
