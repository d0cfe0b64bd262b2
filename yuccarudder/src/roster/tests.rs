use {
  super::*,
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
    warmup_remaining: Duration::ZERO,
  }
}

fn available(started_ms: u64) -> Option<Listing> {
  Some(listing(started_ms, State::Available))
}

struct World {
  now: Instant,
  roster: Roster,
}

impl World {
  fn new() -> Self {
    let mut world = Self {
      now: Instant::now(),
      roster: Roster::default(),
    };
    world.put(1, available(7));
    world
  }

  fn put(&mut self, revision: u64, listing: Option<Listing>) -> Option<Key> {
    self.roster.put("a", revision, listing, self.now)
  }

  fn open(&self) -> usize {
    self.roster.accepting("llm").count()
  }

  fn key(&self) -> Key {
    self.roster.all().next().unwrap().0
  }
}

#[test]
fn drained_target_takes_no_work() {
  let mut world = World::new();
  let key = world.key();
  assert_eq!(world.put(2, Some(listing(7, State::Draining))), Some(key));
  assert_eq!(world.put(3, Some(listing(7, State::Draining))), None);
  assert_eq!(world.open(), 0);
  assert!(world.roster.get(key).unwrap().leaving_since.is_some());
}

#[test]
fn older_entry_changes_nothing() {
  let mut world = World::new();
  world.put(5, Some(listing(7, State::Draining)));
  world.put(4, available(7));
  assert_eq!(world.open(), 0);
}

#[test]
fn unreadable_entry_names_no_target_and_harms_no_other() {
  let mut world = World::new();
  world.roster.put("b", 2, available(9), world.now);
  world.put(3, None);
  assert_eq!(world.open(), 1);
}

#[test]
fn removed_entry_leaves() {
  let mut world = World::new();
  let key = world.key();
  assert_eq!(world.roster.expire("a", 2, false, world.now), Some(key));
  assert_eq!(world.open(), 0);
}

#[test]
fn removal_older_than_the_entry_changes_nothing() {
  let mut world = World::new();
  world.put(5, available(7));
  assert_eq!(world.roster.expire("a", 4, false, world.now), None);
  assert_eq!(world.open(), 1);
}

#[test]
fn lapsed_entry_may_come_back() {
  let mut world = World::new();
  assert_eq!(world.roster.expire("a", 2, true, world.now), None);
  assert_eq!(world.open(), 1);
  world.put(3, available(7));
  assert_eq!(world.roster.tick(world.now + Duration::from_secs(3)), []);
  assert_eq!(world.open(), 1);
}

#[test]
fn lapsed_entry_that_stays_away_is_gone() {
  let mut world = World::new();
  let key = world.key();
  world.roster.expire("a", 2, true, world.now);
  assert_eq!(world.roster.tick(world.now + Duration::from_secs(2)), [key]);
  assert_eq!(world.open(), 0);
}

#[test]
fn another_process_under_the_same_id_is_another_target() {
  let mut world = World::new();
  let before = world.key();
  world.put(2, available(8));
  assert_eq!(world.open(), 1);
  assert!(!world.roster.is_accepting(before));
}

#[test]
fn another_host_tells_of_a_leave() {
  let mut world = World::new();
  let process = world.roster.get(world.key()).unwrap().fingerprint;
  assert!(world.roster.merge_departure(&departure(process, 5), world.now).is_some());
  assert!(world.roster.merge_departure(&departure(process, 5), world.now).is_none());
  // Heartbeats from before the leave arrive late.
  world.put(4, available(7));
  assert_eq!(world.open(), 0);
  // The entry came back after it had been removed.
  world.put(6, available(7));
  assert_eq!(world.open(), 1);
}

#[test]
fn news_of_a_leave_older_than_the_entry_is_none() {
  let mut world = World::new();
  world.put(9, available(7));
  let process = world.roster.get(world.key()).unwrap().fingerprint;
  assert!(world.roster.merge_departure(&departure(process, 8), world.now).is_none());
  assert_eq!(world.open(), 1);
}

#[test]
fn hosts_are_told_of_removed_entries_for_a_while() {
  let mut world = World::new();
  world.roster.expire("a", 2, false, world.now);
  let told =
    |after| world.roster.departures(Duration::MAX, world.now + Duration::from_secs(after)).count();
  assert_eq!((told(0), told(2), told(3)), (1, 1, 0));
}

#[test]
fn list_removes_what_it_does_not_name() {
  let mut world = World::new();
  let gone = world.roster.apply_snapshot(vec![("b".into(), 2, available(9))], 3, false, world.now);
  assert_eq!(gone.len(), 1);
  assert_eq!(world.open(), 1);
}

#[test]
fn evacuated_data_centre_takes_no_work_until_it_is_back() {
  let mut world = World::new();
  world.roster.evacuate("kochi", true);
  assert_eq!(world.open(), 0);
  world.roster.evacuate("kochi", false);
  assert_eq!(world.open(), 1);
  world.roster.set_evacuated(["kochi".to_owned()]);
  assert_eq!(world.open(), 0);
}

fn departure(fingerprint: u64, revision: u64) -> Departure {
  Departure {
    fingerprint,
    leaves_in: None,
    revision,
  }
}

#[test]
fn target_that_says_itself_that_it_leaves_takes_no_work_and_is_told() {
  let mut world = World::new();
  let key = world.key();
  let at = world.now + Duration::from_millis(900);
  assert!(world.roster.mark_leaving(key, at, world.now));
  assert!(!world.roster.mark_leaving(key, at, world.now));
  assert_eq!(world.open(), 0);
  let told = world.roster.departures(Duration::MAX, world.now).next().unwrap();
  assert_eq!(told.leaves_in, Some(Duration::from_millis(900)));
  // Another host with the same list learns it, and when the target will be gone.
  let mut other = World::new();
  let later = other.now + Duration::from_millis(10);
  assert!(other.roster.merge_departure(&told, later).is_some());
  let target = other.roster.get(other.key()).unwrap();
  assert_eq!(target.leaves_at, Some(later + Duration::from_millis(900)));
}

#[test]
fn target_that_takes_work_again_after_its_own_word_is_open() {
  let mut world = World::new();
  world.roster.mark_leaving(world.key(), world.now, world.now);
  world.put(9, available(7));
  assert_eq!(world.open(), 1);
}

#[test]
fn when_a_target_leaves_is_learnt_after_the_leave_itself() {
  let mut world = World::new();
  let key = world.key();
  let process = world.roster.get(key).unwrap().fingerprint;
  world.roster.merge_departure(&departure(process, 5), world.now);
  let told = Departure {
    leaves_in: Some(Duration::from_secs(1)),
    ..departure(process, 5)
  };
  assert!(world.roster.merge_departure(&told, world.now).is_none());
  let at = world.now + Duration::from_secs(1);
  assert_eq!(world.roster.get(key).unwrap().leaves_at, Some(at));
}

#[test]
fn outdated_list_does_not_bring_a_removed_target_back() {
  let mut world = World::new();
  world.put(3, available(7));
  world.roster.expire("a", 5, false, world.now);
  let entry = ("a".into(), 3, available(7));
  world.roster.apply_snapshot(vec![entry], 4, false, world.now);
  assert_eq!(world.open(), 0);
  // An entry that was written after the removal is another process or the same one again.
  world.put(6, available(8));
  assert_eq!(world.open(), 1);
}

#[test]
fn leave_that_is_known_for_long_is_not_relayed() {
  let mut world = World::new();
  world.roster.expire("a", 2, false, world.now);
  let relayed = |after| {
    let now = world.now + Duration::from_millis(after);
    world.roster.departures(Duration::from_secs(1), now).count()
  };
  assert_eq!((relayed(1_000), relayed(1_001)), (1, 0));
}

#[test]
fn leave_of_a_process_that_was_taken_for_gone_and_came_back_is_learnt() {
  let mut world = World::new();
  let process = world.roster.get(world.key()).unwrap().fingerprint;
  world.roster.expire("a", 2, false, world.now);
  world.put(3, available(7));
  assert!(world.roster.merge_departure(&departure(process, 4), world.now).is_some());
  assert_eq!(world.open(), 0);
}
