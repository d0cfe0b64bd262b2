use {super::*, crate::refusal::Reason, proptest::prelude::*};

proptest! {
  #[test]
  fn account_never_has_more_than_its_limit(steps in prop::collection::vec((0_u8..3, any::<bool>()), 0..100)) {
    const MAX: u64 = 3;
    let limits = Limits::default();
    let mut places: Vec<(u8, Place)> = Vec::new();
    for (account, admit) in steps {
      let held = places.iter().filter(|(other, _)| *other == account).count() as u64;
      if admit {
        let place = limits.admit(&account.to_string(), MAX);
        prop_assert_eq!(place.is_ok(), held < MAX);
        places.extend(place.ok().map(|place| (account, place)));
      } else if let Some(at) = places.iter().position(|(other, _)| *other == account) {
        places.remove(at);
      }
      prop_assert_eq!(limits.total(), places.len() as u64);
    }
  }
}

#[test]
fn host_holds_a_bounded_number_of_jobs() {
  let limits = Limits::default();
  let places: Vec<Place> = (0..MAX_JOBS)
    .map(|job| limits.admit(&format!("account {}", job % 3100), MAX_JOBS).unwrap())
    .collect();
  assert_eq!(limits.admit("another", 1).unwrap_err(), Reason::HostBusy);
  drop(places);
  limits.admit("another", 1).unwrap();
}

#[test]
fn memory_is_bounded_and_given_back() {
  let memory = Memory::new(4096);
  let first = memory.reserve(3000).unwrap();
  assert_eq!(memory.reserve(1025).unwrap_err().reason, Reason::HostBusy);
  let _second = memory.reserve(1024).unwrap();
  drop(first);
  memory.reserve(3072).unwrap();
}
