use {
  super::*,
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

const INVALID: &str = "hosts: 1";

fn parse(text: &str) -> Result<HostList, Vec<crate::yaml::Fault>> {
  HostList::parse("hosts", text)
}

fn offer(replica: &mut Replica<HostList>, revision: u64, now: Instant, text: &str) -> OfferOutcome {
  replica.offer(revision, Some(now), text, parse)
}

fn list(callers: &str) -> String {
  format!("hosts: [{{callers: \"{callers}\", peers: \"10.0.0.1:2\", data_centre: a, state: live}}]")
}

#[test]
fn refused_document_leaves_the_last_accepted_one_in_force() {
  let now = Instant::now();
  let mut replica = Replica::default();
  assert_eq!(
    offer(&mut replica, 3, now, &list("10.0.0.1:1")),
    OfferOutcome::Accepted
  );
  assert!(matches!(
    offer(&mut replica, 4, now, INVALID),
    OfferOutcome::Refused(_)
  ));
  assert_eq!(replica.accepted.as_ref().unwrap().revision, 3);
  assert_eq!(replica.newest_seen, 4);
  assert!(!replica.faults.is_empty());
  assert_eq!(
    offer(&mut replica, 5, now, &list("10.0.0.2:1")),
    OfferOutcome::Accepted
  );
  assert!(replica.faults.is_empty());
}

#[test]
fn confirmation_time_never_falls_and_ignores_other_revisions() {
  let requested_at = Instant::now();
  let mut replica = Replica::default();
  offer(&mut replica, 1, requested_at, &list("10.0.0.1:1"));
  replica.confirm(1, requested_at + Duration::from_secs(5));
  replica.confirm(1, requested_at + Duration::from_secs(2));
  assert_eq!(
    replica.confirmed_at,
    Some(requested_at + Duration::from_secs(5))
  );
  replica.confirm(0, requested_at + Duration::from_secs(9));
  assert_eq!(
    replica.confirmed_at,
    Some(requested_at + Duration::from_secs(5))
  );
}

proptest! {
  #[test]
  fn revisions_never_fall(offers in prop::collection::vec((0_u64..20, any::<bool>()), 0..60)) {
    let now = Instant::now();
    let mut replica = Replica::default();
    let mut in_force = 0;
    for (revision, valid) in offers {
      let text = if valid { list("10.0.0.1:1") } else { INVALID.into() };
      let outcome = offer(&mut replica, revision, now, &text);
      let after = replica.accepted.as_ref().map_or(0, |accepted| accepted.revision);
      prop_assert!(after >= in_force);
      prop_assert!(replica.newest_seen >= after);
      prop_assert_eq!(outcome == OfferOutcome::Accepted, after > in_force || (revision == 0 && after == 0 && outcome == OfferOutcome::Accepted));
      in_force = after;
    }
  }
}
