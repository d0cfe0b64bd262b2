use {super::*, proptest::prelude::*};

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
        prop_assert_eq!(place.is_some(), held < MAX);
        places.extend(place.map(|place| (account, place)));
      } else if let Some(at) = places.iter().position(|(other, _)| *other == account) {
        places.remove(at);
      }
      prop_assert_eq!(limits.total(), places.len() as u64);
    }
  }
}
