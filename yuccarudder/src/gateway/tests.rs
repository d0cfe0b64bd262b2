use {
  super::{directory::spread, finish},
  crate::{
    dialect::RequestMetadata,
    routing::{Kind, Route},
  },
  std::{net::SocketAddr, time::Duration},
};

fn host(host: u8) -> SocketAddr {
  ([10, 0, 0, host], 80).into()
}

#[test]
fn all_of_equal_hosts_are_named() {
  let hosts = (1..7).map(|index| (host(index), 250)).collect();
  assert_eq!(spread(hosts, || 0.5).len(), 6);
}

#[test]
fn heavier_hosts_are_named_more_often() {
  let mut seed = 0_u32;
  let mut random = || {
    seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
    f64::from(seed >> 8) / f64::from(1 << 24)
  };
  let mut named = [0; 10];
  for _ in 0..1000 {
    let hosts = (0..10).map(|index| (host(index), if index < 5 { 500 } else { 125 })).collect();
    for address in spread(hosts, &mut random) {
      named[usize::from(
        address.ip().to_string().rsplit('.').next().unwrap().parse::<u8>().unwrap(),
      )] += 1;
    }
  }
  let heavy: i32 = named[..5].iter().sum();
  let light: i32 = named[5..].iter().sum();
  assert!(heavy > 2 * light, "{named:?}");
}

/// Names a case: kind of route, most tokens, time that the caller waits and time within
/// which the answer is sure to be finished, both in milliseconds.
macro_rules! finishes {
  ($name:ident, $kind:expr, $tokens:expr, $wait:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let route = Route {
        attempt_limit: 1,
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
      let ask = RequestMetadata {
        max_tokens: $tokens,
        ..RequestMetadata::default()
      };
      let longest = finish::longest(&ask, &route, Duration::from_millis($wait));
      assert_eq!(longest, Duration::from_millis($expected));
    }
  };
}

const STREAM: Kind = Kind::Stream { resumable: false };

finishes!(
  booking_until_its_deadline,
  Kind::AtMostOnce,
  0,
  1_500,
  1_500
);
finishes!(short_stream, STREAM, 44, 6_000, 2_460);
finishes!(long_stream, STREAM, 2_196, 39_000, 34_740);
finishes!(stream_until_its_deadline, STREAM, 2_196, 8_000, 8_000);

/// Names a case: time since the stop began and until the process ends, both in
/// milliseconds, other hosts that take callers of seven, and whether a stream is taken
/// whose answer may take five seconds.
macro_rules! takes {
  ($name:ident, $elapsed:expr, $left:expr, $others:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let stop = finish::Stop {
        elapsed: Duration::from_millis($elapsed),
        others: $others,
        hosts: 7,
        left: Duration::from_millis($left),
      };
      assert_eq!(finish::takes(&stop, Duration::from_secs(5)), $expected);
    }
  };
}

takes!(answer_that_fits, 2_000, 5_000, 6, true);
takes!(answer_that_may_be_cut, 2_000, 4_999, 6, false);
takes!(most_hosts_stop_too, 2_000, 4_999, 3, true);
takes!(most_hosts_stop_too_but_it_is_late, 2_500, 4_999, 0, false);
