use {
  super::{
    directory::{self, sample_hosts},
    response, shutdown,
  },
  crate::{
    refusal::{Execution, Reason, Refusal},
    routing::{Kind, Route},
  },
  proptest::prelude::*,
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

/// Defines a test from the kind of route, the expected number of tokens, the time left until the
/// deadline and the expected duration of the response, both in milliseconds.
macro_rules! estimates_duration {
  ($name:ident, $kind:expr, $tokens:expr, $time_left:expr, $expected:expr) => {
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
      let time_left = Duration::from_millis($time_left);
      let time = shutdown::ResponseTime::new(&route, $tokens, time_left);
      assert_eq!(time.expected, Duration::from_millis($expected));
      assert_eq!(time.max, time_left);
    }
  };
}

const STREAM: Kind = Kind::Stream { resumable: false };

estimates_duration!(
  at_most_once_request_until_its_deadline,
  Kind::AtMostOnce,
  0,
  1_500,
  1_500
);
estimates_duration!(short_stream, STREAM, 44, 6_000, 2_460);
estimates_duration!(long_stream, STREAM, 2_196, 39_000, 34_740);
estimates_duration!(stream_until_its_deadline, STREAM, 2_196, 8_000, 8_000);

/// A host of seven that shuts down, with times in milliseconds.
fn shutdown_progress(elapsed_ms: u64, remaining_ms: u64, ready_peers: usize) -> shutdown::Shutdown {
  shutdown::Shutdown {
    elapsed: Duration::from_millis(elapsed_ms),
    ready_peers,
    hosts: 7,
    remaining: Duration::from_millis(remaining_ms),
  }
}

/// Defines a test from the time since the shutdown began and until the process ends, both in
/// milliseconds, the number of other hosts out of seven that are ready, the expected and the longest
/// time of a response, both in milliseconds, and whether the request is accepted.
macro_rules! accepts_request {
  ($name:ident, $elapsed:expr, $remaining:expr, $ready_peers:expr, $expected:expr, $max:expr, $accepted:expr) => {
    #[test]
    fn $name() {
      let time = shutdown::ResponseTime {
        expected: Duration::from_millis($expected),
        max: Duration::from_millis($max),
      };
      let result = shutdown_progress($elapsed, $remaining, $ready_peers).check(&time);
      assert_eq!(result.is_ok(), $accepted);
    }
  };
}

accepts_request!(
  response_that_ends_before_the_process,
  2_000,
  5_200,
  6,
  2_000,
  5_000,
  true
);
accepts_request!(
  response_that_usually_ends_before_the_process,
  2_000,
  5_199,
  6,
  2_000,
  5_000,
  false
);
accepts_request!(
  response_that_ends_before_the_process_while_most_hosts_shut_down,
  2_500,
  5_200,
  0,
  2_000,
  5_000,
  true
);
accepts_request!(
  response_that_usually_ends_in_time_while_most_hosts_shut_down,
  2_499,
  5_000,
  3,
  4_800,
  39_000,
  true
);
accepts_request!(
  response_that_hardly_ends_in_time_while_most_hosts_shut_down,
  2_000,
  5_000,
  3,
  4_801,
  39_000,
  false
);
accepts_request!(
  late_response_while_most_hosts_shut_down,
  2_500,
  5_000,
  0,
  2_000,
  39_000,
  false
);

/// Guards against callers that are sent on to hosts which shut down as well.
#[test]
fn callers_return_once_they_have_asked_for_the_ready_hosts_if_few_are() {
  let time = shutdown::ResponseTime {
    expected: Duration::from_secs(30),
    max: Duration::from_secs(39),
  };
  let retry_after = |ready_peers| {
    let refusal = shutdown_progress(1_000, 6_700, ready_peers).check(&time).unwrap_err();
    assert_eq!(refusal.execution, Execution::NotRun);
    refusal.retry_after.unwrap()
  };
  assert_eq!(retry_after(4), Duration::from_millis(50));
  assert_eq!(retry_after(3), directory::MAX_TIME_TO_LIVE);
  assert_eq!(retry_after(0), Duration::from_millis(6_700));
}

proptest! {
  /// Guards against requests that are accepted although their target may hold them until the process
  /// has ended; the platform forgives it only for early ones.
  #[test]
  fn accepted_response_ends_before_the_process_or_began_early(
    elapsed_ms in 0_u64..8_000,
    time_left_ms in 0_u64..40_000,
    expected_ms in 0_u64..40_000,
    ready_peers in 0_usize..7,
  ) {
    let remaining_ms = 7_700_u64.saturating_sub(elapsed_ms);
    let time = shutdown::ResponseTime {
      expected: Duration::from_millis(expected_ms.min(time_left_ms)),
      max: Duration::from_millis(time_left_ms),
    };
    if shutdown_progress(elapsed_ms, remaining_ms, ready_peers).check(&time).is_ok() {
      let fits = time_left_ms < remaining_ms || time_left_ms == 0;
      prop_assert!(fits || (elapsed_ms < 2_500 && 2 * ready_peers < 7 && expected_ms.min(time_left_ms) < remaining_ms));
    }
  }
}
