use {
  crate::{
    dialect::RequestMetadata,
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
pub fn longest(ask: &RequestMetadata, route: &Route, wait: Duration) -> Duration {
  let Kind::Stream { .. } = route.kind else {
    return wait;
  };
  let tokens = u32::try_from(ask.max_tokens).unwrap_or(u32::MAX);
  (route.latency_objective + TOKEN.saturating_mul(tokens)).min(wait)
}

/// The stop of a host as it stands when a request arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
  /// Time since it began.
  pub elapsed: Duration,
  /// Other hosts that take callers.
  pub others: usize,
  /// Hosts, with this one.
  pub hosts: usize,
  /// Time until the process ends.
  pub left: Duration,
}

/// Decides whether a host that stops takes a request whose answer takes up to `longest`.
///
/// One that may be cut is better served by another host, unless most hosts are stopping:
/// then it would meet one that stops again.
pub fn takes(stop: &Stop, longest: Duration) -> bool {
  let few_others = 2 * stop.others < stop.hosts;
  longest <= stop.left || (few_others && stop.elapsed < EXCUSED)
}
