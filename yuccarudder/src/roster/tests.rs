use {
  super::*,
  crate::reader::Version,
  std::time::{Duration, Instant},
};

fn listing(started_ms: u64, state: State) -> Listing {
  Listing {
    address: "10.0.0.1:80".parse().unwrap(),
    started_ms: Some(started_ms),
    data_centre: "kochi".into(),
    service: "llm".into(),
    slots: 24,
    state,
    version: "v1".into(),
    warmup_remaining: Duration::ZERO,
  }
}

fn available(started_ms: u64) -> Option<Listing> {
  Some(listing(started_ms, State::Available))
}

/// Returns a state of the store before it is restored.
fn version(revision: u64) -> Version {
  Version::new(1, revision)
}

/// Returns a state of the store after it was restored.
fn restored(revision: u64) -> Version {
  Version::new(2, revision)
}

struct Fixture {
  now: Instant,
  roster: Roster,
}

impl Fixture {
  fn new() -> Self {
    let mut fixture = Self {
      now: Instant::now(),
      roster: Roster::default(),
    };
    fixture.put(1, available(7));
    fixture
  }

  fn put(&mut self, revision: u64, listing: Option<Listing>) -> Option<Key> {
    self.roster.put("a", version(revision), listing, self.now)
  }

  fn accepting_count(&self) -> usize {
    self.roster.accepting("llm").count()
  }

  fn key(&self) -> Key {
    self.roster.all().next().unwrap().0
  }
}

#[test]
fn draining_target_accepts_no_requests() {
  let mut fixture = Fixture::new();
  let key = fixture.key();
  assert_eq!(fixture.put(2, Some(listing(7, State::Draining))), Some(key));
  assert_eq!(fixture.put(3, Some(listing(7, State::Draining))), None);
  assert_eq!(fixture.accepting_count(), 0);
  assert!(fixture.roster.get(key).unwrap().leaving_since.is_some());
}

#[test]
fn older_entry_is_ignored() {
  let mut fixture = Fixture::new();
  fixture.put(5, Some(listing(7, State::Draining)));
  fixture.put(4, available(7));
  assert_eq!(fixture.accepting_count(), 0);
}

#[test]
fn unreadable_entry_removes_only_its_own_target() {
  let mut fixture = Fixture::new();
  fixture.roster.put("b", version(2), available(9), fixture.now);
  fixture.put(3, None);
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn removal_of_an_entry_makes_its_target_leave() {
  let mut fixture = Fixture::new();
  let key = fixture.key();
  assert_eq!(
    fixture.roster.expire("a", version(2), false, fixture.now),
    Some(key)
  );
  assert_eq!(fixture.accepting_count(), 0);
}

#[test]
fn removal_older_than_the_entry_is_ignored() {
  let mut fixture = Fixture::new();
  fixture.put(5, available(7));
  assert_eq!(
    fixture.roster.expire("a", version(4), false, fixture.now),
    None
  );
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn target_keeps_serving_if_its_lapsed_entry_comes_back() {
  let mut fixture = Fixture::new();
  assert_eq!(
    fixture.roster.expire("a", version(2), true, fixture.now),
    None
  );
  assert_eq!(fixture.accepting_count(), 1);
  fixture.put(3, available(7));
  assert_eq!(
    fixture.roster.remove_lapsed(fixture.now + Duration::from_secs(3)),
    []
  );
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn target_is_removed_if_its_lapsed_entry_stays_away() {
  let mut fixture = Fixture::new();
  let key = fixture.key();
  fixture.roster.expire("a", version(2), true, fixture.now);
  assert_eq!(
    fixture.roster.remove_lapsed(fixture.now + Duration::from_secs(2)),
    [key]
  );
  assert_eq!(fixture.accepting_count(), 0);
}

#[test]
fn new_process_with_the_same_id_is_a_new_target() {
  let mut fixture = Fixture::new();
  let old_key = fixture.key();
  fixture.put(2, available(8));
  assert_eq!(fixture.accepting_count(), 1);
  assert!(!fixture.roster.is_accepting(old_key));
}

#[test]
fn departure_reported_by_another_host_is_applied() {
  let mut fixture = Fixture::new();
  let fingerprint = fixture.roster.get(fixture.key()).unwrap().fingerprint;
  assert!(fixture.roster.merge_departure(&departure(fingerprint, 5), fixture.now).is_some());
  assert!(fixture.roster.merge_departure(&departure(fingerprint, 5), fixture.now).is_none());
  // An entry that the target published before the departure arrives late.
  fixture.put(4, available(7));
  assert_eq!(fixture.accepting_count(), 0);
  // The entry comes back after it was removed: its revision is newer than the departure.
  fixture.put(6, available(7));
  assert_eq!(fixture.accepting_count(), 1);
}

/// Guards against a target that a host keeps using because it took the removal of its entry for a lapse, though
/// hosts that the platform has served all the while know that the target has left.
#[test]
fn departure_told_at_the_revision_of_a_lapse_ends_the_lapse() {
  let mut fixture = Fixture::new();
  let key = fixture.key();
  let fingerprint = fixture.roster.get(key).unwrap().fingerprint;
  assert_eq!(
    fixture.roster.expire("a", version(5), true, fixture.now),
    None
  );
  let earlier = departure(fingerprint, 4);
  assert_eq!(fixture.roster.merge_departure(&earlier, fixture.now), None);
  assert_eq!(fixture.accepting_count(), 1);
  let same = departure(fingerprint, 5);
  assert_eq!(
    fixture.roster.merge_departure(&same, fixture.now),
    Some(key)
  );
  assert_eq!(fixture.accepting_count(), 0);
}

#[test]
fn departure_older_than_the_entry_is_ignored() {
  let mut fixture = Fixture::new();
  fixture.put(9, available(7));
  let fingerprint = fixture.roster.get(fixture.key()).unwrap().fingerprint;
  assert!(fixture.roster.merge_departure(&departure(fingerprint, 8), fixture.now).is_none());
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn removed_entries_are_reported_for_a_limited_time() {
  let mut fixture = Fixture::new();
  fixture.roster.expire("a", version(2), false, fixture.now);
  let reported = |after| {
    fixture.roster.departures(Duration::MAX, fixture.now + Duration::from_secs(after)).count()
  };
  assert_eq!((reported(0), reported(2), reported(3)), (1, 1, 0));
}

#[test]
fn snapshot_removes_entries_that_it_lacks() {
  let mut fixture = Fixture::new();
  let leaving = fixture.roster.apply_snapshot(
    vec![("b".into(), version(2), available(9))],
    version(3),
    false,
    fixture.now,
  );
  assert_eq!(leaving.len(), 1);
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn evacuated_data_centre_accepts_no_requests_until_it_is_back() {
  let mut fixture = Fixture::new();
  fixture.roster.evacuate("kochi", true);
  assert_eq!(fixture.accepting_count(), 0);
  fixture.roster.evacuate("kochi", false);
  assert_eq!(fixture.accepting_count(), 1);
  fixture.roster.set_evacuated(["kochi".to_owned()]);
  assert_eq!(fixture.accepting_count(), 0);
}

fn departure(fingerprint: u64, revision: u64) -> Departure {
  Departure {
    fingerprint,
    is_own_statement: false,
    leaves_in: None,
    version: version(revision),
  }
}

#[test]
fn target_that_reports_its_departure_accepts_no_requests_and_is_relayed() {
  let mut fixture = Fixture::new();
  let key = fixture.key();
  let stops_at = fixture.now + Duration::from_millis(900);
  assert!(fixture.roster.mark_leaving(key, stops_at, fixture.now));
  assert!(!fixture.roster.mark_leaving(key, stops_at, fixture.now));
  assert_eq!(fixture.accepting_count(), 0);
  let departure = fixture.roster.departures(Duration::MAX, fixture.now).next().unwrap();
  assert_eq!(departure.leaves_in, Some(Duration::from_millis(900)));
  // Another host with the same entries learns of the departure and of its time.
  let mut other = Fixture::new();
  let later = other.now + Duration::from_millis(10);
  assert!(other.roster.merge_departure(&departure, later).is_some());
  let target = other.roster.get(other.key()).unwrap();
  assert_eq!(target.leaves_at, Some(later + Duration::from_millis(900)));
}

#[test]
fn newer_entry_overrides_the_departure_that_a_target_reported() {
  let mut fixture = Fixture::new();
  fixture.roster.mark_leaving(fixture.key(), fixture.now, fixture.now);
  fixture.put(9, available(7));
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn time_of_a_departure_may_be_learned_after_the_departure() {
  let mut fixture = Fixture::new();
  let key = fixture.key();
  let fingerprint = fixture.roster.get(key).unwrap().fingerprint;
  fixture.roster.merge_departure(&departure(fingerprint, 5), fixture.now);
  let departure = Departure {
    leaves_in: Some(Duration::from_secs(1)),
    ..departure(fingerprint, 5)
  };
  assert!(fixture.roster.merge_departure(&departure, fixture.now).is_none());
  let stops_at = fixture.now + Duration::from_secs(1);
  assert_eq!(fixture.roster.get(key).unwrap().leaves_at, Some(stops_at));
}

#[test]
fn outdated_snapshot_does_not_restore_a_removed_target() {
  let mut fixture = Fixture::new();
  fixture.put(3, available(7));
  fixture.roster.expire("a", version(5), false, fixture.now);
  let entry = ("a".into(), version(3), available(7));
  fixture.roster.apply_snapshot(vec![entry], version(4), false, fixture.now);
  assert_eq!(fixture.accepting_count(), 0);
  // An entry written after the removal belongs to a new process, or to the same one again.
  fixture.put(6, available(8));
  assert_eq!(fixture.accepting_count(), 1);
}

/// Guards against a stale list that brings back a target whose entry was removed before this process made its first
/// list, so that it has never known of it.
#[test]
fn list_older_than_the_first_one_does_not_add_a_removed_target() {
  let now = Instant::now();
  let mut roster = Roster::default();
  roster.apply_snapshot(Vec::new(), version(9), false, now);
  roster.record_complete_list(version(9));
  let entry = ("a".into(), version(3), available(7));
  roster.apply_snapshot(vec![entry], version(8), false, now);
  assert_eq!(roster.accepting("llm").count(), 0);
}

#[test]
fn departure_known_for_too_long_is_not_relayed() {
  let mut fixture = Fixture::new();
  fixture.roster.expire("a", version(2), false, fixture.now);
  let relayed = |after| {
    let now = fixture.now + Duration::from_millis(after);
    fixture.roster.departures(Duration::from_secs(1), now).count()
  };
  assert_eq!((relayed(1_000), relayed(1_001)), (1, 0));
}

#[test]
fn departure_of_a_process_that_was_removed_and_came_back_is_applied() {
  let mut fixture = Fixture::new();
  let fingerprint = fixture.roster.get(fixture.key()).unwrap().fingerprint;
  fixture.roster.expire("a", version(2), false, fixture.now);
  fixture.put(3, available(7));
  assert!(fixture.roster.merge_departure(&departure(fingerprint, 4), fixture.now).is_some());
  assert_eq!(fixture.accepting_count(), 0);
}

impl Fixture {
  fn put_restored(&mut self, revision: u64, listing: Option<Listing>) -> Option<Key> {
    self.roster.put("a", restored(revision), listing, self.now)
  }
}

#[test]
fn entry_of_a_restored_store_is_newer_than_all_entries_before() {
  let mut fixture = Fixture::new();
  fixture.put(50, available(7));
  fixture.put_restored(3, Some(listing(7, State::Draining)));
  assert_eq!(fixture.accepting_count(), 0);
  fixture.put(60, available(7));
  assert_eq!(fixture.accepting_count(), 0);
}

#[test]
fn restored_entry_does_not_bring_back_a_removed_target() {
  let mut fixture = Fixture::new();
  fixture.roster.expire("a", version(50), false, fixture.now);
  fixture.put_restored(3, available(7));
  assert_eq!(fixture.accepting_count(), 0);
  // A second entry in the new era was written by the process itself.
  fixture.put_restored(4, available(7));
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn restored_entry_does_not_bring_back_a_leaving_target() {
  let mut fixture = Fixture::new();
  fixture.put(50, Some(listing(7, State::Draining)));
  fixture.put_restored(3, available(7));
  assert_eq!(fixture.accepting_count(), 0);
  fixture.put_restored(4, available(7));
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn new_process_is_used_from_its_first_entry_in_a_restored_store() {
  let mut fixture = Fixture::new();
  fixture.roster.expire("a", version(50), false, fixture.now);
  fixture.put_restored(3, available(8));
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn two_restores_in_a_row_do_not_bring_back_a_removed_target() {
  let mut fixture = Fixture::new();
  fixture.roster.expire("a", version(50), false, fixture.now);
  fixture.put_restored(3, available(7));
  fixture.roster.put("a", Version::new(3, 3), available(7), fixture.now);
  assert_eq!(fixture.accepting_count(), 0);
}

#[test]
fn target_missing_in_a_restored_store_lapses_until_it_registers_again() {
  let mut fixture = Fixture::new();
  fixture.roster.apply_snapshot(Vec::new(), restored(1), true, fixture.now);
  assert_eq!(fixture.accepting_count(), 1);
  fixture.put_restored(2, available(7));
  let later = fixture.now + Duration::from_secs(60);
  assert_eq!(fixture.roster.remove_lapsed(later), []);
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn departure_from_before_the_restore_applies_to_an_entry_that_may_be_a_copy() {
  let mut before = Fixture::new();
  before.roster.expire("a", version(50), false, before.now);
  // The host that knows the departure reports it again once the copy lists the target.
  before.put_restored(3, available(7));
  let later = before.now + Duration::from_millis(2_900);
  let departure = before.roster.departures(Duration::MAX, later).next().unwrap();
  assert_eq!(departure.version, version(50));
  // A process that starts after the restore reads only the copy.
  let mut started = Fixture::new();
  started.roster = Roster::default();
  started.put_restored(3, available(7));
  assert_eq!(started.accepting_count(), 1);
  assert!(started.roster.merge_departure(&departure, started.now).is_some());
  assert_eq!(started.accepting_count(), 0);
}

#[test]
fn departure_from_before_the_restore_does_not_apply_to_a_process_that_registered_since() {
  let mut fixture = Fixture::new();
  let fingerprint = fixture.roster.get(fixture.key()).unwrap().fingerprint;
  fixture.put_restored(3, available(7));
  fixture.put_restored(4, available(7));
  assert!(fixture.roster.merge_departure(&departure(fingerprint, 50), fixture.now).is_none());
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn no_entry_of_the_same_process_overrides_its_own_statement() {
  let mut fixture = Fixture::new();
  let key = fixture.key();
  assert!(fixture.roster.record_own_statement(key, fixture.now));
  assert!(!fixture.roster.record_own_statement(key, fixture.now));
  fixture.put(9, available(7));
  fixture.put_restored(3, available(7));
  fixture.put_restored(4, available(7));
  assert_eq!(fixture.accepting_count(), 0);
  fixture.put_restored(5, available(8));
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn own_statement_reaches_hosts_with_newer_entries() {
  let mut fixture = Fixture::new();
  fixture.roster.record_own_statement(fixture.key(), fixture.now);
  let departure = fixture.roster.departures(Duration::MAX, fixture.now).next().unwrap();
  let mut other = Fixture::new();
  other.put(9, available(7));
  assert!(other.roster.merge_departure(&departure, other.now).is_some());
  other.put(10, available(7));
  assert_eq!(other.accepting_count(), 0);
}

#[test]
fn evacuation_that_a_restored_store_lacks_is_held_for_some_time() {
  let mut fixture = Fixture::new();
  let until = fixture.now + Duration::from_secs(5);
  fixture.roster.hold_evacuations(["kochi".to_owned()], until);
  fixture.roster.set_evacuated([]);
  fixture.roster.remove_lapsed(until - Duration::from_millis(1));
  assert_eq!(fixture.accepting_count(), 0);
  fixture.roster.remove_lapsed(until);
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn held_evacuation_ends_when_the_operator_puts_the_data_centre_back() {
  let mut fixture = Fixture::new();
  let until = fixture.now + Duration::from_secs(5);
  fixture.roster.hold_evacuations(["kochi".to_owned()], until);
  fixture.roster.evacuate("kochi", false);
  assert_eq!(fixture.accepting_count(), 1);
}

#[test]
fn digest_changes_with_entries_but_not_with_heartbeats() {
  let mut fixture = Fixture::new();
  let before = fixture.roster.digest(fixture.now);
  fixture.put(2, available(7));
  assert_eq!(fixture.roster.digest(fixture.now), before);
  fixture.put(3, available(8));
  let replaced = fixture.roster.digest(fixture.now);
  let mut cold = listing(8, State::Available);
  cold.warmup_remaining = Duration::from_secs(1);
  fixture.put(4, Some(cold));
  let cold = fixture.roster.digest(fixture.now);
  fixture.put(5, Some(listing(8, State::Draining)));
  let draining = fixture.roster.digest(fixture.now);
  let mut digests = vec![before, replaced, cold, draining];
  digests.sort_unstable();
  digests.dedup();
  assert_eq!(digests.len(), 4);
  // A target that leaves and one that is gone are the same to callers.
  fixture.roster.expire("a", version(6), false, fixture.now);
  assert_eq!(fixture.roster.digest(fixture.now), draining);
}

#[test]
fn digest_does_not_depend_on_the_order_of_entries() {
  let digest = |ids: [&str; 2]| {
    let now = Instant::now();
    let mut roster = Roster::default();
    for id in ids {
      roster.put(id, version(1), available(7), now);
    }
    roster.digest(now)
  };
  assert_eq!(digest(["a", "b"]), digest(["b", "a"]));
}

#[test]
fn announced_targets_match_those_of_the_reader() {
  let mut reader = Fixture::new();
  let mut other = Fixture::new();
  let now = reader.now;
  reader.roster.apply_snapshot(
    vec![("a".into(), version(1), available(7))],
    version(1),
    false,
    now,
  );
  let mut cold = listing(9, State::Available);
  cold.warmup_remaining = Duration::from_secs(4);
  reader.roster.put("b", version(2), Some(cold), now);
  reader.roster.expire("a", version(3), false, now);
  assert_ne!(other.roster.digest(now), reader.roster.digest(now));
  for departure in reader.roster.departures(Duration::MAX, now) {
    other.roster.merge_departure(&departure, now);
  }
  for announcement in reader.roster.changed(Duration::from_secs(1), now) {
    let Announcement {
      id,
      listing,
      version,
    } = announcement;
    other.roster.put(&id, version, Some(listing), now);
  }
  assert_eq!(other.roster.digest(now), reader.roster.digest(now));
  assert_eq!(other.accepting_count(), 1);
}

#[test]
fn targets_of_the_first_snapshot_and_heartbeats_are_not_announced() {
  let mut fixture = Fixture::new();
  let now = fixture.now;
  fixture.roster.apply_snapshot(
    vec![("a".into(), version(2), available(7))],
    version(2),
    false,
    now,
  );
  fixture.put(3, available(7));
  assert_eq!(
    fixture.roster.changed(Duration::from_secs(9), now).count(),
    0
  );
  fixture.put(4, available(8));
  let changed = |after| {
    let now = now + Duration::from_millis(after);
    fixture.roster.changed(Duration::from_secs(2), now).count()
  };
  assert_eq!((changed(2_000), changed(2_001)), (1, 0));
}

#[test]
fn process_that_was_removed_and_came_back_has_all_its_keys() {
  let mut fixture = Fixture::new();
  let fingerprint = fixture.roster.get(fixture.key()).unwrap().fingerprint;
  fixture.roster.expire("a", version(2), false, fixture.now);
  let key = fixture.put(3, available(7));
  assert_eq!(key, None);
  let keys: Vec<Key> = fixture.roster.keys_of(fingerprint).collect();
  assert_eq!(keys.len(), 2);
  assert_eq!(
    keys.iter().filter(|key| fixture.roster.is_accepting(**key)).count(),
    1
  );
}

/// Guards against a cold start that is too long to be added to the present time.
#[test]
fn endless_cold_start_is_in_range() {
  let mut fixture = Fixture::new();
  let now = fixture.now;
  let endless = available(7).map(|listing| Listing {
    warmup_remaining: Duration::MAX,
    ..listing
  });
  fixture.put(3, endless);
  assert!(fixture.roster.get(fixture.key()).unwrap().is_cold(now + Duration::from_secs(3600)));
  let departure = Departure {
    fingerprint: fixture.roster.get(fixture.key()).unwrap().fingerprint,
    is_own_statement: true,
    leaves_in: Some(Duration::MAX),
    version: version(u64::MAX),
  };
  assert!(fixture.roster.merge_departure(&departure, now).is_some());
  let key = fixture.key();
  fixture.roster.mark_leaving(key, now, now);
}

/// Guards against the largest revision, after which a report of the target itself has no place.
#[test]
fn target_of_the_largest_revision_can_leave() {
  let mut fixture = Fixture::new();
  fixture.put(u64::MAX, available(7));
  let (key, now) = (fixture.key(), fixture.now);
  assert!(fixture.roster.mark_leaving(key, now, now));
}
