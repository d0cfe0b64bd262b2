use {
  super::*,
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  std::time::{Duration, Instant},
};

const SERVICE: u64 = 1;

fn version(text: &str) -> Decision {
  Decision::Version(text.into())
}

/// Defines a test of the decision on a stream that is continued: the stream that the caller names,
/// the versions that are listed, those that other hosts report, and the decision. Stream 1 began at
/// `v1`.
macro_rules! decision {
  ($name:ident, $stream:expr, [$($listed:expr),*], [$($reported:expr),*], $expected:expr) => {
    #[test]
    fn $name() {
      let now = Instant::now();
      let mut table = Table::default();
      table.merge(1, "v1", now);
      let reported: Vec<&str> = vec![$($reported),*];
      for version in reported {
        table.merge_version(SERVICE, version, now);
      }
      let listed: Vec<&str> = vec![$($listed),*];
      assert_eq!(table.decide($stream, SERVICE, listed.into_iter(), now), $expected);
    }
  };
}

decision!(known_stream, Some(1), ["v1", "v2"], [], version("v1"));
decision!(
  known_stream_whose_version_has_left,
  Some(1),
  ["v2"],
  [],
  version("v1")
);
decision!(
  unknown_stream_of_two_versions,
  Some(2),
  ["v1", "v2"],
  [],
  Decision::Unknown
);
decision!(
  unnamed_stream_of_two_versions,
  None,
  ["v2", "v1", "v2"],
  [],
  Decision::Unknown
);
decision!(
  unknown_stream_of_one_version,
  Some(2),
  ["v2", "v2"],
  [],
  version("v2")
);
decision!(
  version_that_only_others_have_seen,
  Some(2),
  ["v2"],
  ["v1"],
  Decision::Unknown
);
decision!(
  unknown_stream_without_targets,
  Some(2),
  [],
  [],
  Decision::NoTarget
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
  assert_eq!(
    table.decide(Some(1), SERVICE, ["v2"].into_iter(), now),
    version("v1")
  );
}

#[test]
fn reported_version_is_forgotten_after_a_minute() {
  let now = Instant::now();
  let mut table = Table::default();
  table.merge_version(SERVICE, "v1", now);
  let later = now + Duration::from_secs(61);
  assert_eq!(
    table.decide(None, SERVICE, ["v2"].into_iter(), later),
    version("v2")
  );
}

#[test]
fn state_stays_bounded() {
  let now = Instant::now();
  let mut table = Table::default();
  for stream in 0..20_000 {
    table.record(stream, "v1", now + Duration::from_secs(1), now);
    table.merge_version(stream, "v1", now);
  }
  assert!(table.announced(now).count() <= 8192);
  assert_eq!(
    table.decide(Some(19_999), SERVICE, ["v1", "v2"].into_iter(), now),
    version("v1")
  );
  assert_eq!(
    table.decide(Some(0), SERVICE, ["v1", "v2"].into_iter(), now),
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
    let mut tables = vec![Table::default(); hosts];
    let mut continued = 0;
    let streams = 60;
    for stream in 0..streams {
      let now = start + Duration::from_millis(100 * stream);
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
      match tables[resumed].decide(Some(stream), SERVICE, ["v1", "v2"].into_iter(), now) {
        Decision::Version(version) => {
          prop_assert_eq!(version.as_ref(), origin);
          continued += 1;
        }
        Decision::Unknown => {}
        Decision::NoTarget => prop_assert!(false, "targets are listed"),
      }
    }
    prop_assert!(continued * 2 >= streams, "{continued}");
  }
}
