use {
  super::*,
  crate::roster::Key,
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  slotmap::SlotMap,
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

const SERVICE: u64 = 1;

fn attempt(sent_at: Instant) -> Attempt {
  Attempt {
    concurrent: 1,
    sent_at,
    service: SERVICE,
  }
}

fn share(hosts: usize, position: Option<usize>, slots: u32) -> PlaceShare {
  PlaceShare {
    hosts,
    position,
    slots,
  }
}

/// Defines a test of the places of a host from the number of hosts, its position and the slots.
macro_rules! places {
  ($name:ident, $hosts:expr, $position:expr, $slots:expr, $expected:expr) => {
    #[test]
    fn $name() {
      assert_eq!(share($hosts, $position, $slots).places(), $expected);
    }
  };
}

places!(only_host_has_all_places, 1, Some(0), 6, 6);
places!(places_are_shared_equally, 3, Some(2), 6, 2);
places!(first_hosts_have_the_places_left_over, 4, Some(1), 6, 2);
places!(last_hosts_have_fewer_places, 4, Some(2), 6, 1);
places!(hosts_beyond_the_slots_have_no_place, 295, Some(6), 6, 0);
places!(hosts_within_the_slots_have_one, 295, Some(5), 6, 1);
places!(host_that_knows_no_others_has_none, 1, None, 6, 0);

#[test]
fn service_is_brittle_from_the_first_statement_to_the_end() {
  let now = Instant::now();
  let later = |seconds| now + Duration::from_secs(seconds);
  let statement = |seconds, tolerance| BrittleStatement {
    at: later(seconds),
    tolerance,
  };
  let mut brittleness = Brittleness::default();
  assert!(!brittleness.record(SERVICE, statement(0, None), true));
  assert!(brittleness.record(SERVICE, statement(1, Some(3.0)), true));
  assert!(!brittleness.record(SERVICE, statement(0, None), false));
  assert_eq!(brittleness.tolerance(SERVICE), Some(3.0));
  assert_eq!(brittleness.own_statements(later(100)).count(), 1);
  assert!(brittleness.record(SERVICE, statement(2, None), true));
  assert_eq!(brittleness.tolerance(SERVICE), None);
  assert_eq!(brittleness.own_statements(later(6)).count(), 1);
  assert_eq!(brittleness.own_statements(later(7)).count(), 0);
}

#[test]
fn rejected_place_rests() {
  let now = Instant::now();
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let key = keys.insert(());
  let mut brittleness = Brittleness::default();
  let room = |brittleness: &mut Brittleness, in_flight, ms| {
    let at = now + Duration::from_millis(ms);
    brittleness.set_share(key, share(2, Some(0), 6), at);
    brittleness.room(SERVICE, key, in_flight, at)
  };
  assert_eq!(room(&mut brittleness, 0, 0), None);
  let statement = BrittleStatement {
    at: now,
    tolerance: Some(3.0),
  };
  brittleness.record(SERVICE, statement, false);
  assert_eq!(room(&mut brittleness, 0, 0), Some(3));
  assert_eq!(room(&mut brittleness, 3, 0), Some(0));
  brittleness.record_rejection(key, attempt(now), now);
  assert_eq!(room(&mut brittleness, 0, 1_999), Some(2));
  assert_eq!(room(&mut brittleness, 0, 2_000), Some(3));
}

/// Guards against requests that are blamed for the fall of a target because the rejections that caused it
/// were those of another host.
#[test]
fn rejection_of_another_host_explains_a_fall() {
  let now = Instant::now();
  let at = |ms| now + Duration::from_millis(ms);
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let key = keys.insert(());
  let mut brittleness = Brittleness::default();
  let mut room = Room::default();
  room.record_exceeded(Sighting {
    at: at(100),
    places: 5,
  });
  let period = Duration::from_secs(2);
  assert!(!brittleness.has_rejected(key, period, at(200)));
  brittleness.merge_room(key, &room);
  assert!(brittleness.has_rejected(key, period, at(200)));
  assert!(brittleness.has_rejected(key, period, now));
  assert!(!brittleness.has_rejected(key, period, at(2_200)));
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

  /// Guards against hosts that together ask for more places than a target has, or leave them unused: for
  /// any number of hosts, places and runs, if hosts only know each other.
  #[test]
  fn places_of_all_hosts_are_those_of_the_target(
    hosts in 1..300_usize,
    slots in 1..40_u32,
    seed: u64,
  ) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    let key = keys.insert(());
    let mut tables = vec![Brittleness::default(); hosts];
    for table in &mut tables {
      table.record(SERVICE, BrittleStatement { at: start, tolerance: Some(3.0) }, false);
    }
    let total: u32 = (0..hosts).map(|host| share(hosts, Some(host), slots).places()).sum();
    prop_assert_eq!(total, slots);
    let mut in_flight = vec![0_u32; hosts];
    let mut running: VecDeque<usize> = VecDeque::new();
    for step in 0..400_u64 {
      let now = start + Duration::from_millis(step * 10);
      let host = random.random_range(0..hosts);
      tables[host].set_share(key, share(hosts, Some(host), slots), now);
      let room = tables[host].room(SERVICE, key, in_flight[host], now);
      if room.is_some_and(|room| room > 0) {
        in_flight[host] += 1;
        running.push_back(host);
      }
      prop_assert!(running.len() <= slots as usize);
      if random.random_bool(0.3)
        && let Some(host) = running.pop_front()
      {
        in_flight[host] -= 1;
      }
    }
  }

  /// Guards against more rejections in a second than a target bears on average, when it suddenly has less
  /// room than it published.
  #[test]
  fn rejections_stay_within_the_tolerance(slots in 1..24_u32, tolerance in 1..8_u32, hosts in 1..30_usize) {
    let start = Instant::now();
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    let key = keys.insert(());
    let mut tables = vec![Brittleness::default(); hosts];
    let statement = BrittleStatement { at: start, tolerance: Some(f64::from(tolerance)) };
    for table in &mut tables {
      table.record(SERVICE, statement, false);
    }
    let mut rejections = 0;
    let seconds = 20;
    for step in 0..seconds * 100 {
      let now = start + Duration::from_millis(step * 10);
      for (host, table) in tables.iter_mut().enumerate() {
        // The target rejects everything.
        table.set_share(key, share(hosts, Some(host), slots), now);
        if table.room(SERVICE, key, 0, now).unwrap() > 0 {
          table.record_rejection(key, attempt(now), now);
          rejections += 1;
        }
      }
    }
    prop_assert!(rejections <= u64::from(tolerance) * seconds + u64::from(slots), "{}", rejections);
  }
}
