use {
  super::*,
  proptest::prelude::*,
  std::time::{Duration, Instant},
};

const FAULTY: &str = "hosts: 1";

fn accept(text: &str) -> Result<HostList, Vec<crate::yaml::Fault>> {
  HostList::accept("hosts", text)
}

fn offer(slot: &mut Replica<HostList>, revision: u64, now: Instant, text: &str) -> OfferOutcome {
  slot.offer(revision, Some(now), text, accept)
}

fn list(callers: &str) -> String {
  format!("hosts: [{{callers: \"{callers}\", peers: \"10.0.0.1:2\", data_centre: a, state: live}}]")
}

#[test]
fn refused_document_leaves_the_last_accepted_one_in_force() {
  let now = Instant::now();
  let mut slot = Replica::default();
  assert_eq!(
    offer(&mut slot, 3, now, &list("10.0.0.1:1")),
    OfferOutcome::Accepted
  );
  assert!(matches!(
    offer(&mut slot, 4, now, FAULTY),
    OfferOutcome::Refused(_)
  ));
  assert_eq!(slot.accepted.as_ref().unwrap().revision, 3);
  assert_eq!(slot.newest_seen, 4);
  assert!(!slot.faults.is_empty());
  assert_eq!(
    offer(&mut slot, 5, now, &list("10.0.0.2:1")),
    OfferOutcome::Accepted
  );
  assert!(slot.faults.is_empty());
}

#[test]
fn age_counts_from_when_the_question_was_sent() {
  let asked = Instant::now();
  let mut slot = Replica::default();
  offer(&mut slot, 1, asked, &list("10.0.0.1:1"));
  slot.confirm(1, asked + Duration::from_secs(5));
  slot.confirm(1, asked + Duration::from_secs(2));
  assert_eq!(slot.confirmed, Some(asked + Duration::from_secs(5)));
  slot.confirm(0, asked + Duration::from_secs(9));
  assert_eq!(slot.confirmed, Some(asked + Duration::from_secs(5)));
}

proptest! {
  #[test]
  fn revisions_never_go_back(offers in prop::collection::vec((0_u64..20, any::<bool>()), 0..60)) {
    let now = Instant::now();
    let mut slot = Replica::default();
    let mut in_force = 0;
    for (revision, good) in offers {
      let text = if good { list("10.0.0.1:1") } else { FAULTY.into() };
      let offer = offer(&mut slot, revision, now, &text);
      let after = slot.accepted.as_ref().map_or(0, |accepted| accepted.revision);
      prop_assert!(after >= in_force);
      prop_assert!(slot.newest_seen >= after);
      prop_assert_eq!(offer == OfferOutcome::Accepted, after > in_force || (revision == 0 && after == 0 && offer == OfferOutcome::Accepted));
      in_force = after;
    }
  }
}
