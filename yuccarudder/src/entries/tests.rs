use {
  super::*,
  crate::view::{Entry, HostState},
  rand::{SeedableRng, rngs::StdRng},
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

fn address(host: u8) -> SocketAddr {
  ([10, 0, 0, host], 80).into()
}

fn entry(host: u8, state: HostState) -> Entry {
  Entry {
    callers: address(host),
    data_centre: "kochi".into(),
    peers: address(host),
    state,
  }
}

/// Defines a test of `order`: the listed hosts with their states, whether host 1 is included,
/// the hosts with departure notices, and the expected addresses.
macro_rules! case {
  ($name:ident, [$(($host:expr, $state:ident)),*], $include_self:expr, [$($leaving:expr),*], [$($expected:expr),*]) => {
    #[test]
    fn $name() {
      let hosts = [$(entry($host, HostState::$state)),*];
      let leaving: Vec<SocketAddr> = vec![$(address($leaving)),*];
      let mut random = StdRng::seed_from_u64(1);
      let mut addresses = order(&hosts, address(1), $include_self, &leaving, &mut random);
      addresses.get_mut(1..).map(<[_]>::sort);
      let expected: Vec<SocketAddr> = vec![$(address($expected)),*];
      assert_eq!(addresses, expected);
    }
  };
}

case!(
  this_host_comes_first,
  [(1, Live), (2, Live), (3, Live)],
  true,
  [],
  [1, 2, 3]
);
case!(
  host_listed_as_leaving_is_left_out,
  [(1, Live), (2, Leaving), (3, Live)],
  true,
  [],
  [1, 3]
);
case!(
  host_with_a_departure_notice_is_left_out,
  [(1, Live), (2, Live), (3, Live)],
  true,
  [3],
  [1, 2]
);
case!(this_host_is_leaving, [(1, Live), (2, Live)], false, [], [2]);
case!(this_host_is_not_listed_yet, [(2, Live)], true, [], [1, 2]);

#[test]
fn notice_ends_when_the_host_serves_again_or_the_notice_expires() {
  let now = Instant::now();
  let notices = DepartureNotices::default();
  notices.insert(address(2), now);
  notices.insert(address(3), now);
  notices.remove(address(2));
  assert_eq!(notices.current(now), [address(3)]);
  assert!(notices.current(now + Duration::from_secs(3600)).is_empty());
}
