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
const TICKET_LIFETIME: Duration = Duration::from_secs(10);

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

/// Builds a registry with one claimed key; returns it with the time of the claim.
fn registry_with_claim() -> (Registry, Instant) {
  let start = Instant::now();
  let mut registry = Registry::new(BOUNDS);
  let claim = registry.claim(&key(1), [1; 32], start + TICKET_LIFETIME, start);
  assert!(matches!(claim, Claim::Run));
  (registry, start)
}

#[test]
fn repeated_request_waits_and_gets_the_same_answer() {
  let (mut registry, now) = registry_with_claim();
  let Claim::Wait(receiver) = registry.claim(&key(1), [1; 32], now + TICKET_LIFETIME, now) else {
    panic!("the request should still be running");
  };
  registry.authorize_dispatch(&key(1), now).unwrap();
  registry.finish(&key(1), answer(3));
  assert_eq!(*receiver.borrow(), Some(answer(3)));
  let claim = registry.claim(&key(1), [1; 32], now + TICKET_LIFETIME, now);
  assert!(matches!(claim, Claim::Ended(outcome) if outcome == answer(3)));
}

#[test]
fn key_is_dispatched_once() {
  let (mut registry, now) = registry_with_claim();
  registry.authorize_dispatch(&key(1), now).unwrap();
  assert_eq!(
    registry.authorize_dispatch(&key(1), now).unwrap_err().execution,
    Execution::Unknown
  );
}

#[test]
fn key_reused_with_another_request_is_detected() {
  let (mut registry, now) = registry_with_claim();
  assert!(matches!(
    registry.claim(&key(1), [2; 32], now + TICKET_LIFETIME, now),
    Claim::Reused
  ));
}

/// Guards against a dispatch by a process that was suspended between the claim of the key and
/// the dispatch until the ticket had expired.
#[test]
fn claimed_key_is_not_dispatched_after_expiry() {
  let (mut registry, now) = registry_with_claim();
  let refusal = registry.authorize_dispatch(&key(1), now + TICKET_LIFETIME).unwrap_err();
  assert_eq!(
    (refusal.execution, refusal.reason),
    (Execution::NotRun, Reason::TicketExpired)
  );
}

#[test]
fn refusal_after_dispatch_is_unknown() {
  let (mut registry, now) = registry_with_claim();
  registry.authorize_dispatch(&key(1), now).unwrap();
  let outcome = registry.finish(
    &key(1),
    Outcome::Refused(Refusal::not_run(Reason::NoTarget)),
  );
  assert!(matches!(outcome, Outcome::Refused(refusal) if refusal.execution == Execution::Unknown));
}

#[test]
fn refused_key_is_never_dispatched() {
  let (mut registry, now) = registry_with_claim();
  registry.finish(
    &key(1),
    Outcome::Refused(Refusal::not_run(Reason::NoTarget)),
  );
  registry.authorize_dispatch(&key(1), now).unwrap_err();
}

#[test]
fn answers_beyond_the_limit_are_not_stored() {
  let (mut registry, now) = registry_with_claim();
  registry.authorize_dispatch(&key(1), now).unwrap();
  assert_eq!(registry.finish(&key(1), answer(65)), Outcome::NotKept);
}

#[test]
fn full_registry_stores_its_refusals() {
  let (mut registry, now) = registry_with_claim();
  for name in 2..=3 {
    assert!(matches!(
      registry.claim(&key(name), [1; 32], now + TICKET_LIFETIME, now),
      Claim::Run
    ));
  }
  for name in 4..=6 {
    let claim = registry.claim(&key(name), [1; 32], now + TICKET_LIFETIME, now);
    assert!(
      matches!(claim, Claim::Ended(Outcome::Refused(refusal)) if refusal.execution == Execution::NotRun)
    );
  }
  assert!(matches!(
    registry.claim(&key(7), [1; 32], now + TICKET_LIFETIME, now),
    Claim::Full
  ));
}

#[test]
fn expired_keys_are_removed_and_refused() {
  let (mut registry, now) = registry_with_claim();
  registry.authorize_dispatch(&key(1), now).unwrap();
  registry.finish(&key(1), answer(1));
  let expired = now + TICKET_LIFETIME;
  assert!(matches!(
    registry.claim(&key(1), [1; 32], now + TICKET_LIFETIME, expired),
    Claim::Expired
  ));
  assert!(registry.is_empty());
}

#[test]
fn running_request_keeps_its_key_after_the_ticket_expires() {
  let (mut registry, now) = registry_with_claim();
  registry.authorize_dispatch(&key(1), now).unwrap();
  registry.remove_expired(now + 2 * TICKET_LIFETIME);
  assert_eq!(registry.len(), 1);
  registry.finish(&key(1), answer(1));
  registry.remove_expired(now + 3 * TICKET_LIFETIME);
  assert!(registry.is_empty());
}

#[derive(Clone, Debug)]
enum Event {
  Claim(u8, u8),
  Finish(u8, u8),
  AdvanceSeconds(u64),
  Dispatch(u8),
}

fn event() -> impl Strategy<Value = Event> {
  let name = 0_u8..8;
  prop_oneof![
    3 => (name.clone(), 0_u8..2).prop_map(|(name, fingerprint)| Event::Claim(name, fingerprint)),
    2 => (name.clone(), 0_u8..3).prop_map(|(name, kind)| Event::Finish(name, kind)),
    1 => (0_u64..6).prop_map(Event::AdvanceSeconds),
    3 => name.prop_map(Event::Dispatch),
  ]
}

/// What the registry has reported about one key.
#[derive(Default)]
struct Report {
  not_run: bool,
  dispatches: u32,
}

proptest! {
  /// No order of claims, dispatches, outcomes and pauses dispatches a key twice, or at all if
  /// the registry has reported it as `NotRun`.
  #[test]
  fn keys_are_dispatched_at_most_once(events in prop::collection::vec(event(), 0..200)) {
    let start = Instant::now();
    let mut now = start;
    let mut registry = Registry::new(BOUNDS);
    let mut reports: HashMap<u8, Report> = HashMap::new();
    // All requests of a key carry the same ticket and so expire at the same time.
    let expires = |name: u8| start + Duration::from_secs(4 + u64::from(name));
    for event in events {
      match event {
        Event::Claim(name, fingerprint) => {
          let claim = registry.claim(&key(name), [fingerprint; 32], expires(name), now);
          if let Claim::Ended(Outcome::Refused(refusal)) = claim {
            reports.entry(name).or_default().not_run |= refusal.execution == Execution::NotRun;
          }
        }
        Event::Finish(name, kind) => {
          let outcome = match kind {
            0 => answer(5),
            1 => Outcome::Refused(Refusal::not_run(Reason::NoTarget)),
            _ => Outcome::Refused(Refusal::unknown(Reason::TargetLost)),
          };
          if let Outcome::Refused(refusal) = registry.finish(&key(name), outcome) {
            reports.entry(name).or_default().not_run |= refusal.execution == Execution::NotRun;
          }
        }
        Event::AdvanceSeconds(seconds) => now += Duration::from_secs(seconds),
        Event::Dispatch(name) => {
          if registry.authorize_dispatch(&key(name), now).is_ok() {
            reports.entry(name).or_default().dispatches += 1;
          }
        }
      }
    }
    for report in reports.values() {
      prop_assert!(report.dispatches <= 1);
      prop_assert!(!(report.not_run && report.dispatches > 0));
    }
  }
}
