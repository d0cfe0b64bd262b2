use {
  super::{
    directory::{self, sample_hosts},
    response, shutdown,
  },
  crate::{
    dialect::RequestMetadata,
    refusal::{Reason, Refusal},
    routing::{Kind, Route},
  },
  std::{net::SocketAddr, time::Duration},
};

fn host(index: u8) -> SocketAddr {
  ([10, 0, 0, index], 80).into()
}

/// Guards against callers that send a request again under which targets have just crashed.
#[test]
fn request_that_is_banned_after_it_ran_is_refused_for_good() {
  let status = |refusal: Refusal| response::from_refusal(&refusal).status().as_u16();
  assert_eq!(status(Refusal::unknown(Reason::RequestQuarantined)), 400);
  assert_eq!(status(Refusal::not_run(Reason::RequestQuarantined)), 400);
  assert_eq!(status(Refusal::not_run(Reason::RequestSuspected)), 503);
  assert_eq!(status(Refusal::unknown(Reason::RequestSuspected)), 502);
}

#[test]
fn hosts_of_equal_weight_are_all_listed() {
  let hosts = (1..7).map(|index| (host(index), 250)).collect();
  assert_eq!(sample_hosts(hosts, || 0.5).len(), 6);
}

#[test]
fn hosts_of_larger_weight_are_listed_more_often() {
  let mut seed = 0_u32;
  let mut random = || {
    seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
    f64::from(seed >> 8) / f64::from(1 << 24)
  };
  let mut counts = [0; 10];
  for _ in 0..1000 {
    let hosts = (0..10).map(|index| (host(index), if index < 5 { 500 } else { 125 })).collect();
    for address in sample_hosts(hosts, &mut random) {
      counts[usize::from(
        address.ip().to_string().rsplit('.').next().unwrap().parse::<u8>().unwrap(),
      )] += 1;
    }
  }
  let heavy: i32 = counts[..5].iter().sum();
  let light: i32 = counts[5..].iter().sum();
  assert!(heavy > 2 * light, "{counts:?}");
}

/// Defines a test of the hosts that the directory lists, of four: those that reach all targets, the
/// weight of the first one, and the hosts listed.
macro_rules! lists_hosts {
  ($name:ident, $reaching:expr, $first_weight:expr, $listed:expr) => {
    #[test]
    fn $name() {
      let reaching: &[u8] = &$reaching;
      let hosts = (1..=4).map(|index| directory::Host {
        callers: host(index),
        reaches_targets: reaching.contains(&index),
        weight: if index == 1 { $first_weight } else { 250 },
      });
      let listed = directory::select(hosts.collect());
      let listed: Vec<SocketAddr> = listed.into_iter().map(|(address, _)| address).collect();
      let expected: &[u8] = &$listed;
      assert_eq!(
        listed,
        expected.iter().map(|index| host(*index)).collect::<Vec<_>>()
      );
    }
  };
}

lists_hosts!(
  hosts_that_all_reach_the_targets,
  [1, 2, 3, 4],
  250,
  [1, 2, 3, 4]
);
lists_hosts!(half_of_the_hosts_cut_off, [1, 2], 250, [1, 2]);
lists_hosts!(all_but_a_small_host_cut_off, [2], 250, [1, 2, 3, 4]);
lists_hosts!(all_but_a_large_host_cut_off, [1], 500, [1]);
lists_hosts!(all_hosts_cut_off, [], 250, [1, 2, 3, 4]);

/// Defines a test from the kind of route, the maximum number of tokens, the caller's timeout and
/// the expected maximum duration of the response, both in milliseconds.
macro_rules! limits_duration {
  ($name:ident, $kind:expr, $tokens:expr, $timeout:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let route = Route {
        max_runs: 1,
        kind: $kind,
        latency_objective: Duration::from_millis(1_800),
        name: "r".into(),
        pause_objective: Duration::ZERO,
        prefix: "/".into(),
        priority: 0,
        public: true,
        destinations: Vec::new(),
        timeout: Duration::from_secs(60),
      };
      let metadata = RequestMetadata {
        max_tokens: $tokens,
        ..RequestMetadata::default()
      };
      let max_duration =
        shutdown::max_response_duration(&metadata, &route, Duration::from_millis($timeout));
      assert_eq!(max_duration, Duration::from_millis($expected));
    }
  };
}

const STREAM: Kind = Kind::Stream { resumable: false };

limits_duration!(
  at_most_once_request_until_its_deadline,
  Kind::AtMostOnce,
  0,
  1_500,
  1_500
);
limits_duration!(short_stream, STREAM, 44, 6_000, 2_460);
limits_duration!(long_stream, STREAM, 2_196, 39_000, 34_740);
limits_duration!(stream_until_its_deadline, STREAM, 2_196, 8_000, 8_000);

/// Defines a test from the time since the shutdown began and until the process ends, both in
/// milliseconds, the number of other hosts out of seven that are ready, and whether a stream
/// that may take five seconds is expected to be accepted.
macro_rules! accepts_request {
  ($name:ident, $elapsed:expr, $remaining:expr, $ready_peers:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let progress = shutdown::Shutdown {
        elapsed: Duration::from_millis($elapsed),
        ready_peers: $ready_peers,
        hosts: 7,
        remaining: Duration::from_millis($remaining),
      };
      assert_eq!(
        shutdown::accepts(&progress, Duration::from_secs(5)),
        $expected
      );
    }
  };
}

accepts_request!(response_that_ends_before_the_process, 2_000, 5_000, 6, true);
accepts_request!(response_that_may_be_cut, 2_000, 4_999, 6, false);
accepts_request!(most_hosts_shut_down_too, 2_000, 4_999, 3, true);
accepts_request!(
  most_hosts_shut_down_too_but_it_is_late,
  2_500,
  4_999,
  0,
  false
);
