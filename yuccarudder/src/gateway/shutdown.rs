use {
  crate::{
    dialect::Ask,
    routing::{Kind, Route},
  },
  std::time::Duration,
};

/// Time from the start of a stop in which a stream may still be taken though it may be
/// cut at its end: the platform counts a cut only for requests that came later.
const EXCUSED: Duration = Duration::from_millis(2500);
/// Longest time that an engine takes for a token on a busy day.
const TOKEN: Duration = Duration::from_millis(15);

/// Returns the time within which an answer is sure to be finished.
pub fn max_answer_duration(ask: &Ask, route: &Route, wait: Duration) -> Duration {
  let Kind::Stream { .. } = route.kind else {
    return wait;
  };
  let tokens = u32::try_from(ask.max_tokens).unwrap_or(u32::MAX);
  (route.latency_objective + TOKEN.saturating_mul(tokens)).min(wait)
}

/// The stop of a host as it stands when a request arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
  /// Time since it began.
  pub elapsed: Duration,
  /// Other hosts that take callers.
  pub ready_peers: usize,
  /// Hosts, with this one.
  pub hosts: usize,
  /// Time until the process ends.
  pub remaining: Duration,
}

/// Decides whether a host that stops takes a request whose answer takes up to `longest`.
///
/// One that may be cut is better served by another host, unless most hosts are stopping:
/// then it would meet one that stops again.
pub fn accepts(stop: &Shutdown, longest: Duration) -> bool {
  let few_others = 2 * stop.ready_peers < stop.hosts;
  longest <= stop.remaining || (few_others && stop.elapsed < EXCUSED)
}
