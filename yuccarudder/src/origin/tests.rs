use {
  super::*,
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
  },
};

const SERVICE: u64 = 1;
/// A time since boot.
const BOOT: Duration = Duration::from_secs(1_000);

/// Returns the time from `seconds` before `until`.
fn coverage(seconds: u64, until: Duration) -> Coverage {
  Coverage::new(Duration::from_secs(seconds), until, until)
}

fn version(text: &str) -> Decision {
  Decision::Version(text.into())
}

/// Defines a test of the decision on a stream that is continued: the stream that the caller names, the
/// versions that were in service and how many seconds ago, for how many seconds all versions are known,
/// and the decision. Stream 1 began at `v1`.
macro_rules! decision {
  ($name:ident, $stream:expr, [$($version:literal $age:literal),*], $coverage:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let start = Instant::now();
      let now = start + Duration::from_secs(1_000);
      let mut table = Table::default();
      table.merge(1, "v1", now);
      let known_for: Option<u64> = $coverage;
      if let Some(seconds) = known_for {
        table.extend_coverage(coverage(seconds, BOOT));
      }
      let versions: Vec<(&str, u64)> = vec![$(($version, $age)),*];
      for (version, age) in versions {
        table.record_version(SERVICE, version, now - Duration::from_secs(age), now);
      }
      assert_eq!(table.decide($stream, &[SERVICE], BOOT, now), $expected);
    }
  };
}

decision!(known_stream, Some(1), ["v1" 0, "v2" 0], None, version("v1"));
decision!(
  known_stream_whose_version_has_left,
  Some(1),
  ["v2" 0],
  Some(300),
  version("v1")
);
decision!(unknown_stream_of_two_versions, Some(2), ["v1" 0, "v2" 0], Some(300), Decision::Unknown);
decision!(unnamed_stream_of_two_versions, None, ["v2" 0, "v1" 0], Some(300), Decision::Unknown);
decision!(unknown_stream_of_one_version, Some(2), ["v2" 0], Some(300), version("v2"));
decision!(
  version_that_left_while_streams_may_last,
  Some(2),
  ["v2" 0, "v1" 299],
  Some(300),
  Decision::Unknown
);
decision!(
  version_that_left_long_ago,
  Some(2),
  ["v2" 0, "v1" 300],
  Some(300),
  version("v2")
);
decision!(host_that_has_just_started, Some(2), ["v2" 0], Some(0), Decision::Unknown);
decision!(host_that_knows_too_little, Some(2), ["v2" 0], Some(299), Decision::Unknown);
decision!(host_that_has_not_listed_the_targets, Some(2), ["v2" 0], None, Decision::Unknown);
decision!(
  unknown_stream_without_targets,
  Some(2),
  [],
  Some(300),
  Decision::Unknown
);

#[test]
fn streams_of_two_accounts_with_one_request_id_differ() {
  assert_ne!(
    stream_key(Some("club"), "a"),
    stream_key(Some("school"), "a")
  );
  assert_eq!(stream_key(Some("club"), "a"), stream_key(Some("club"), "a"));
}

#[test]
fn later_version_does_not_replace_the_one_that_began_a_stream() {
  let now = Instant::now();
  let mut table = Table::default();
  table.record(1, "v1", now + Duration::from_secs(1), now);
  table.merge(1, "v2", now);
  assert_eq!(table.decide(Some(1), &[SERVICE], BOOT, now), version("v1"));
}

#[test]
fn host_knows_enough_after_it_has_seen_all_versions_for_as_long_as_streams_last() {
  let now = Instant::now();
  let mut table = Table::default();
  for (seconds, expected) in [
    (0, Decision::Unknown),
    (299, Decision::Unknown),
    (300, version("v2")),
  ] {
    let later = now + Duration::from_secs(seconds);
    let asked_at = BOOT + Duration::from_secs(seconds);
    table.extend_coverage(Coverage::new(Duration::ZERO, BOOT, asked_at));
    table.record_version(SERVICE, "v2", later, later);
    assert_eq!(table.decide(None, &[SERVICE], asked_at, later), expected);
  }
}

/// Guards against a host that counts time in which it was out of touch as time in which it saw all versions.
#[test]
fn coverage_does_not_grow_by_itself() {
  let now = Instant::now();
  let mut table = Table::default();
  table.extend_coverage(coverage(300, BOOT));
  table.record_version(SERVICE, "v1", now, now);
  assert_eq!(table.decide(None, &[SERVICE], BOOT, now), version("v1"));
  let later = BOOT + Duration::from_millis(1);
  assert_eq!(
    table.decide(None, &[SERVICE], later, now),
    Decision::Unconfirmed
  );
  table.extend_coverage(Coverage::new(Duration::ZERO, BOOT, later));
  assert_eq!(table.decide(None, &[SERVICE], later, now), version("v1"));
}

/// Guards against a host that takes up what it knew before a gap although nobody has told it of the gap.
#[test]
fn gap_in_coverage_stays_until_another_host_has_told_of_it() {
  let now = Instant::now();
  let at = |seconds| BOOT + Duration::from_secs(seconds);
  let mut table = Table::default();
  table.record_version(SERVICE, "v1", now, now);
  table.extend_coverage(coverage(300, BOOT));
  table.extend_coverage(coverage(2, at(10)));
  assert_eq!(
    table.decide(None, &[SERVICE], at(10), now),
    Decision::Unconfirmed
  );
  table.extend_coverage(Coverage::new(Duration::from_secs(20), at(11), at(9)));
  assert_eq!(table.decide(None, &[SERVICE], at(10), now), version("v1"));
}

/// Guards against statements of the other hosts that are taken for knowledge of what an earlier process of
/// this host did.
#[test]
fn other_hosts_confirm_only_what_this_process_remembers() {
  let at = |seconds| BOOT + Duration::from_secs(seconds);
  for (starts_at, expected) in [(at(0), at(9)), (at(5), at(3))] {
    let mut table = Table::default();
    table.begin(Coverage::new(Duration::ZERO, starts_at, starts_at));
    table.extend_coverage(coverage(300, at(3)));
    table.confirm(|_| Some(at(9)));
    assert_eq!(table.coverage().unwrap().until(), expected);
  }
}

/// Guards against a process that states it remembers what an earlier one of its host did.
#[test]
fn memory_reaches_back_only_over_what_another_host_has_told_of() {
  let at = |seconds| BOOT + Duration::from_secs(seconds);
  let mut table = Table::default();
  table.begin(coverage(0, at(5)));
  table.extend_coverage(coverage(300, at(4)));
  assert_eq!(table.memory(), Some(coverage(0, at(5))));
  table.extend_coverage(coverage(300, at(6)));
  assert_eq!(table.memory().unwrap().age(at(6)), STREAM_RETENTION);
}

#[test]
fn later_news_does_not_shorten_what_a_host_knows() {
  let mut table = Table::default();
  table.extend_coverage(coverage(300, BOOT));
  table.extend_coverage(coverage(0, BOOT));
  assert_eq!(table.coverage(), Some(coverage(300, BOOT)));
}

#[test]
fn state_stays_bounded() {
  let now = Instant::now();
  let mut table = Table::default();
  table.begin(coverage(300, BOOT));
  table.extend_coverage(coverage(300, BOOT));
  for stream in 0..20_000 {
    table.record(stream, "v1", now + Duration::from_secs(1), now);
    table.record_version(stream, "v1", now, now);
  }
  assert!(table.announced(now).count() <= 8192);
  assert!(table.versions(now).len() <= 256);
  // Versions are missing, so nothing is concluded from the others.
  assert_eq!((table.coverage(), table.memory()), (None, None));
  assert_eq!(
    table.decide(Some(19_999), &[SERVICE], BOOT, now),
    version("v1")
  );
  assert_eq!(
    table.decide(Some(0), &[SERVICE], BOOT, now),
    Decision::Unknown
  );
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

  /// Guards against streams that are continued at another version, and against hosts that refuse more
  /// than half of those that callers resume: whatever the number of hosts, lost messages, and
  /// hosts that restart.
  #[test]
  fn streams_continue_at_their_version_at_any_host(
    hosts in prop::sample::select(vec![2_usize, 6, 30, 295]),
    loss in 0.0..0.3,
    restarts in 0..3_usize,
    seed: u64,
  ) {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut table = Table::default();
    table.extend_coverage(coverage(300, BOOT));
    let mut tables = vec![table; hosts];
    let mut continued = 0;
    let streams = 60;
    for stream in 0..streams {
      let now = start + Duration::from_millis(100 * stream);
      for table in &mut tables {
        table.record_version(SERVICE, "v1", now, now);
        table.record_version(SERVICE, "v2", now, now);
      }
      let origin = if random.random_range(0..2) == 0 { "v1" } else { "v2" };
      let first = random.random_range(0..hosts);
      tables[first].record(stream, origin, now + Duration::from_secs(1), now);
      for _heartbeat in 0..3 {
        let announced: Vec<(u64, String)> =
          tables[first].announced(now).map(|(key, version)| (key, version.to_string())).collect();
        for table in &mut tables {
          if random.random_range(0.0..1.0) >= loss {
            announced.iter().for_each(|(key, version)| table.merge(*key, version, now));
          }
        }
      }
      for _restart in 0..restarts {
        let host = random.random_range(0..hosts.max(12));
        if let Some(table) = tables.get_mut(host) {
          *table = Table::default();
        }
      }
      let resumed = random.random_range(0..hosts);
      match tables[resumed].decide(Some(stream), &[SERVICE], BOOT, now) {
        Decision::Version(version) => {
          prop_assert_eq!(version.as_ref(), origin);
          continued += 1;
        }
        Decision::Unconfirmed | Decision::Unknown => {}
      }
    }
    prop_assert!(continued * 2 >= streams, "{continued}");
  }

  /// Guards against streams that are joined from two versions when hosts restart, all or some of them, at
  /// any moment of a release, with lost messages: a host learns the versions from those that lived on.
  #[test]
  fn unknown_streams_continue_only_at_the_version_that_began_them(
    hosts in prop::sample::select(vec![1_usize, 3, 12]),
    loss in 0.0..0.5,
    release_at in 0..200_u64,
    restart_share in prop::sample::select(vec![0.0, 0.1, 0.9, 1.0]),
    seed: u64,
  ) {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut tables = vec![Table::default(); hosts];
    tables.iter_mut().for_each(|table| table.extend_coverage(coverage(300, BOOT)));
    let mut begun: Vec<&str> = Vec::new();
    for step in 0..400_u64 {
      let now = start + Duration::from_secs(step);
      let since_boot = BOOT + Duration::from_secs(step);
      let serving = if step < release_at { "v1" } else { "v2" };
      for table in &mut tables {
        if random.random_bool(restart_share / 50.0) {
          *table = Table::default();
        }
      }
      if restart_share == 1.0 && random.random_bool(0.02) {
        tables.iter_mut().for_each(|table| *table = Table::default());
      }
      for table in &mut tables {
        // Each host lists the targets every second.
        table.extend_coverage(coverage(1, since_boot));
        table.record_version(SERVICE, serving, now, now);
      }
      let news: Vec<_> = tables
        .iter()
        .map(|table| {
          let versions = table.versions(now).into_iter();
          let versions: Vec<_> =
            versions.map(|((_, version), age)| (version.to_string(), now - age)).collect();
          (versions, table.coverage())
        })
        .collect();
      for table in &mut tables {
        for (versions, coverage) in &news {
          if random.random_bool(loss) {
            continue;
          }
          for (version, at) in versions {
            table.record_version(SERVICE, version, *at, now);
          }
          if let Some(coverage) = coverage {
            table.extend_coverage(*coverage);
          }
        }
      }
      begun.push(serving);
      // The caller of a stream from within the last five minutes comes to any host.
      let first = step.saturating_sub(299) as usize;
      let origin = begun[random.random_range(first..begun.len())];
      let resumed = random.random_range(0..hosts);
      if let Decision::Version(version) = tables[resumed].decide(Some(step), &[SERVICE], since_boot, now) {
        prop_assert_eq!(version.as_ref(), origin, "at {} s", step);
      }
    }
  }
}

/// The items of a store and what was in service, by the store's revisions.
#[derive(Default)]
struct StoreModel {
  /// The operator's documents: the catalog is number 0.
  documents: BTreeMap<u8, Revisions>,
  /// The versions of all targets that were listed after the first catalog was published.
  in_service: BTreeSet<u8>,
  revision: u64,
  targets: BTreeMap<u8, (Revisions, u8)>,
}

impl StoreModel {
  /// Starts with some revisions of which nothing is known.
  fn new() -> Self {
    Self {
      revision: 100,
      ..Self::default()
    }
  }

  fn apply(&mut self, change: Write) {
    self.revision += 1;
    let changed = self.revision;
    let rewrite = |earlier: Option<&Revisions>| Revisions {
      created: earlier.map_or(changed, |it| it.created),
      changed,
    };
    match change {
      Write::Document(number) => {
        let written = rewrite(self.documents.get(&number));
        self.documents.insert(number, written);
      }
      Write::DocumentRemoved(number) => drop(self.documents.remove(&number)),
      Write::Target(id, version) => {
        let written = rewrite(self.targets.get(&id).map(|(written, _)| written));
        self.targets.insert(id, (written, version));
      }
      Write::TargetRemoved(id) => drop(self.targets.remove(&id)),
    }
    if self.documents.contains_key(&0) {
      self.in_service.extend(self.targets.values().map(|(_, version)| *version));
    }
  }

  fn documents(&self) -> Inventory {
    Inventory {
      first_catalog: self.documents.get(&0).map(|catalog| catalog.created),
      items: self.documents.values().copied().collect(),
      listed: self.revision,
    }
  }

  fn targets(&self) -> Inventory {
    Inventory {
      first_catalog: None,
      items: self.targets.values().map(|(written, _)| *written).collect(),
      listed: self.revision,
    }
  }
}

/// A change of the store; a target is written with its version.
#[derive(Clone, Copy, Debug)]
enum Write {
  Document(u8),
  DocumentRemoved(u8),
  Target(u8, u8),
  TargetRemoved(u8),
}

fn any_write() -> impl Strategy<Value = Write> {
  prop_oneof![
    3 => (0..5_u8, 1..3_u8).prop_map(|(id, version)| Write::Target(id, version)),
    1 => (0..5_u8).prop_map(Write::TargetRemoved),
    1 => (0..3_u8).prop_map(Write::Document),
    // The catalog is never removed.
    1 => (1..3_u8).prop_map(Write::DocumentRemoved),
  ]
}

fn verdict(documents: Inventory, targets: Inventory) -> Option<bool> {
  let mut history = History::default();
  history.record_targets(targets, BOOT);
  assert_eq!(history.verdict(), None);
  history.record_documents(documents);
  history.verdict().map(|(is_complete, _)| is_complete)
}

/// Defines a test of what the store shows after some changes.
macro_rules! store_shows {
  ($name:ident, [$($change:expr),*], $expected:expr) => {
    #[test]
    fn $name() {
      use Write::*;
      let mut store = StoreModel::new();
      for change in [$($change),*] {
        store.apply(change);
      }
      assert_eq!(verdict(store.documents(), store.targets()), Some($expected));
    }
  };
}

store_shows!(
  targets_that_never_left,
  [Target(1, 1), Document(0), Target(2, 1)],
  true
);
store_shows!(
  catalog_that_was_replaced_once,
  [Document(0), Target(1, 1), Document(0)],
  false
);
store_shows!(
  change_that_another_one_hides,
  [Document(0), Document(0), Document(0)],
  false
);
store_shows!(
  target_that_left,
  [Target(1, 1), Document(0), Target(2, 2), TargetRemoved(1)],
  false
);
store_shows!(
  target_that_came_and_left,
  [Document(0), Target(1, 1), TargetRemoved(1)],
  false
);
store_shows!(
  target_that_left_before_the_catalog,
  [Target(1, 1), TargetRemoved(1), Document(0)],
  true
);
store_shows!(
  target_that_changed,
  [Target(1, 1), Document(0), Target(1, 2)],
  false
);
store_shows!(
  target_that_changed_before,
  [Target(1, 1), Target(1, 2), Document(0)],
  true
);
store_shows!(no_catalog, [Target(1, 1)], false);

/// Guards against a stream that goes on at the version of another service of its route.
#[test]
fn unknown_stream_of_a_route_of_two_services_continues_only_at_their_common_version() {
  let now = Instant::now();
  for (other_version, expected) in [("v1", version("v1")), ("v2", Decision::Unknown)] {
    let mut table = Table::default();
    table.extend_coverage(coverage(300, BOOT));
    table.record_version(SERVICE, "v1", now, now);
    table.record_version(SERVICE + 1, other_version, now, now);
    assert_eq!(
      table.decide(None, &[SERVICE, SERVICE + 1], BOOT, now),
      expected
    );
  }
}

proptest! {
  /// Guards against streams that go on at another version: whatever was changed, and if the documents were
  /// listed earlier or later than the targets.
  #[test]
  fn store_shows_all_versions_or_nothing(
    writes in prop::collection::vec(any_write(), 1..14),
    between in prop::collection::vec(any_write(), 0..3),
    targets_first in any::<bool>(),
  ) {
    let mut store = StoreModel::new();
    writes.into_iter().for_each(|write| store.apply(write));
    let (documents, targets) = (store.documents(), store.targets());
    let listed = |store: &StoreModel| -> BTreeSet<u8> {
      store.targets.values().map(|(_, version)| *version).collect()
    };
    let (at_first, in_service_at_first) = (listed(&store), store.in_service.clone());
    between.into_iter().for_each(|write| store.apply(write));
    let (is_complete, known, in_service) = if targets_first {
      (verdict(store.documents(), targets), at_first, in_service_at_first)
    } else {
      (verdict(documents, store.targets()), listed(&store), store.in_service.clone())
    };
    prop_assert!(is_complete == Some(false) || in_service.is_subset(&known));
  }
}
