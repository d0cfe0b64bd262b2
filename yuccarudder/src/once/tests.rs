use {
  super::*,
  crate::refusal::{Execution, Reason, Refusal},
  proptest::prelude::*,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

const BOUNDS: Bounds = Bounds {
  answer_bytes: 64,
  keys: 3,
};
const LIFE: Duration = Duration::from_secs(10);

fn answer(length: usize) -> Outcome {
  Outcome::Answer(Answer {
    body: vec![b'x'; length].into(),
    headers: hyper::HeaderMap::new(),
    status: hyper::StatusCode::OK,
  })
}

fn key(name: u8) -> Key {
  Key {
    account: "parents".into(),
    nonce: name.to_string().into(),
    ticket_id: 7,
  }
}

/// A registry whose only key was claimed at `begun`.
fn claimed() -> (Registry, Instant) {
  let begun = Instant::now();
  let mut registry = Registry::new(BOUNDS);
  let claim = registry.claim(&key(1), [1; 32], begun + LIFE, begun);
  assert!(matches!(claim, Claim::Run));
  (registry, begun)
}

#[test]
fn second_request_waits_and_gets_the_same_answer() {
  let (mut registry, now) = claimed();
  let Claim::Wait(ended) = registry.claim(&key(1), [1; 32], now + LIFE, now) else {
    panic!("the job is in hand");
  };
  registry.authorize_dispatch(&key(1), now).unwrap();
  registry.finish(&key(1), answer(3));
  assert_eq!(*ended.borrow(), Some(answer(3)));
  let claim = registry.claim(&key(1), [1; 32], now + LIFE, now);
  assert!(matches!(claim, Claim::Ended(outcome) if outcome == answer(3)));
}

#[test]
fn key_is_sent_once() {
  let (mut registry, now) = claimed();
  registry.authorize_dispatch(&key(1), now).unwrap();
  assert_eq!(
    registry.authorize_dispatch(&key(1), now).unwrap_err().execution,
    Execution::Unknown
  );
}

#[test]
fn key_with_another_request_is_told_apart() {
  let (mut registry, now) = claimed();
  assert!(matches!(
    registry.claim(&key(1), [2; 32], now + LIFE, now),
    Claim::Reused
  ));
}

#[test]
fn process_that_wakes_after_expiry_does_not_send() {
  let (mut registry, now) = claimed();
  let refusal = registry.authorize_dispatch(&key(1), now + LIFE).unwrap_err();
  assert_eq!(
    (refusal.execution, refusal.reason),
    (Execution::NotRun, Reason::TicketExpired)
  );
}

#[test]
fn refusal_after_sending_is_unknown() {
  let (mut registry, now) = claimed();
  registry.authorize_dispatch(&key(1), now).unwrap();
  let outcome = registry.finish(
    &key(1),
    Outcome::Refused(Refusal::not_run(Reason::NoTarget)),
  );
  assert!(matches!(outcome, Outcome::Refused(refusal) if refusal.execution == Execution::Unknown));
}

#[test]
fn refused_key_is_never_sent() {
  let (mut registry, now) = claimed();
  registry.finish(
    &key(1),
    Outcome::Refused(Refusal::not_run(Reason::NoTarget)),
  );
  registry.authorize_dispatch(&key(1), now).unwrap_err();
}

#[test]
fn answers_beyond_the_bound_are_not_kept() {
  let (mut registry, now) = claimed();
  registry.authorize_dispatch(&key(1), now).unwrap();
  assert_eq!(registry.finish(&key(1), answer(65)), Outcome::NotKept);
}

#[test]
fn full_registry_remembers_what_it_refuses() {
  let (mut registry, now) = claimed();
  for name in 2..=3 {
    assert!(matches!(
      registry.claim(&key(name), [1; 32], now + LIFE, now),
      Claim::Run
    ));
  }
  for name in 4..=6 {
    let claim = registry.claim(&key(name), [1; 32], now + LIFE, now);
    assert!(
      matches!(claim, Claim::Ended(Outcome::Refused(refusal)) if refusal.execution == Execution::NotRun)
    );
  }
  assert!(matches!(
    registry.claim(&key(7), [1; 32], now + LIFE, now),
    Claim::Full
  ));
}

#[test]
fn expired_keys_are_forgotten_and_refused() {
  let (mut registry, now) = claimed();
  registry.authorize_dispatch(&key(1), now).unwrap();
  registry.finish(&key(1), answer(1));
  let later = now + LIFE;
  assert!(matches!(
    registry.claim(&key(1), [1; 32], now + LIFE, later),
    Claim::Expired
  ));
  assert!(registry.is_empty());
}

#[test]
fn job_in_hand_outlives_its_ticket() {
  let (mut registry, now) = claimed();
  registry.authorize_dispatch(&key(1), now).unwrap();
  registry.expire(now + 2 * LIFE);
  assert_eq!(registry.len(), 1);
  registry.finish(&key(1), answer(1));
  registry.expire(now + 3 * LIFE);
  assert!(registry.is_empty());
}

#[derive(Clone, Debug)]
enum Event {
  Claim(u8, u8),
  Finish(u8, u8),
  Pass(u64),
  Send(u8),
}

fn event() -> impl Strategy<Value = Event> {
  let name = 0_u8..8;
  prop_oneof![
    3 => (name.clone(), 0_u8..2).prop_map(|(name, print)| Event::Claim(name, print)),
    2 => (name.clone(), 0_u8..3).prop_map(|(name, how)| Event::Finish(name, how)),
    1 => (0_u64..6).prop_map(Event::Pass),
    3 => name.prop_map(Event::Send),
  ]
}

/// What the adversary saw of one key.
#[derive(Default)]
struct Seen {
  not_run: bool,
  sent: u32,
}

proptest! {
  /// No order of requests, sends, ends and pauses sends a key twice or makes `not_run` false.
  #[test]
  fn at_most_once(events in prop::collection::vec(event(), 0..200)) {
    let begun = Instant::now();
    let mut now = begun;
    let mut registry = Registry::new(BOUNDS);
    let mut seen: HashMap<u8, Seen> = HashMap::new();
    // All requests of a key carry the same ticket, hence the same expiry.
    let expires = |name: u8| begun + Duration::from_secs(4 + u64::from(name));
    for event in events {
      match event {
        Event::Claim(name, print) => {
          let claim = registry.claim(&key(name), [print; 32], expires(name), now);
          if let Claim::Ended(Outcome::Refused(refusal)) = claim {
            seen.entry(name).or_default().not_run |= refusal.execution == Execution::NotRun;
          }
        }
        Event::Finish(name, how) => {
          let outcome = match how {
            0 => answer(5),
            1 => Outcome::Refused(Refusal::not_run(Reason::NoTarget)),
            _ => Outcome::Refused(Refusal::unknown(Reason::TargetLost)),
          };
          if let Outcome::Refused(refusal) = registry.finish(&key(name), outcome) {
            seen.entry(name).or_default().not_run |= refusal.execution == Execution::NotRun;
          }
        }
        Event::Pass(seconds) => now += Duration::from_secs(seconds),
        Event::Send(name) => {
          if registry.authorize_dispatch(&key(name), now).is_ok() {
            seen.entry(name).or_default().sent += 1;
          }
        }
      }
    }
    for seen in seen.values() {
      prop_assert!(seen.sent <= 1);
      prop_assert!(!(seen.not_run && seen.sent > 0));
    }
  }
}
