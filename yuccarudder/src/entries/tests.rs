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

/// Names a case: hosts with their states, whether this one is named, notices, and the answer.
macro_rules! case {
  ($name:ident, [$(($host:expr, $state:ident)),*], $named:expr, [$($leaving:expr),*], [$($expected:expr),*]) => {
    #[test]
    fn $name() {
      let hosts = [$(entry($host, HostState::$state)),*];
      let leaving: Vec<SocketAddr> = vec![$(address($leaving)),*];
      let mut random = StdRng::seed_from_u64(1);
      let mut addresses = order(&hosts, address(1), $named, &leaving, &mut random);
      addresses.get_mut(1..).map(<[_]>::sort);
      let expected: Vec<SocketAddr> = vec![$(address($expected)),*];
      assert_eq!(addresses, expected);
    }
  };
}

case!(
  this_host_first,
  [(1, Live), (2, Live), (3, Live)],
  true,
  [],
  [1, 2, 3]
);
case!(
  listed_leaving,
  [(1, Live), (2, Leaving), (3, Live)],
  true,
  [],
  [1, 3]
);
case!(
  said_leaving,
  [(1, Live), (2, Live), (3, Live)],
  true,
  [3],
  [1, 2]
);
case!(this_host_leaving, [(1, Live), (2, Live)], false, [], [2]);
case!(not_yet_listed, [(2, Live)], true, [], [1, 2]);

#[test]
fn notice_ends_when_the_host_serves_again_or_in_time() {
  let now = Instant::now();
  let leaving = DepartureNotices::default();
  leaving.insert(address(2), now);
  leaving.insert(address(3), now);
  leaving.remove(address(2));
  assert_eq!(leaving.current(now), [address(3)]);
  assert!(leaving.current(now + Duration::from_secs(3600)).is_empty());
}
