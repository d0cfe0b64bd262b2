use {
  crate::{
    dialect::RequestMetadata,
    routing::{Kind, Route},
  },
  std::time::Duration,
};

/// Time after the start of a shutdown during which a request may be accepted even if the end of
/// the process may interrupt its answer. The platform counts interrupted requests as failures
/// only if they arrived later.
const INTERRUPTION_EXEMPTION: Duration = Duration::from_millis(2500);
/// Maximum time per generated token on an engine under heavy load.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(15);

/// Returns the maximum time until the response to a request is complete, which is at most
/// `timeout`.
pub fn max_response_duration(
  metadata: &RequestMetadata,
  route: &Route,
  timeout: Duration,
) -> Duration {
  let Kind::Stream { .. } = route.kind else {
    return timeout;
  };
  let max_tokens = u32::try_from(metadata.max_tokens).unwrap_or(u32::MAX);
  (route.latency_objective + MAX_TOKEN_TIME.saturating_mul(max_tokens)).min(timeout)
}

/// The progress of a host's shutdown when a request arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
  /// Time since the shutdown began.
  pub elapsed: Duration,
  /// Other hosts that accept callers.
  pub ready_peers: usize,
  /// All hosts, including this one.
  pub hosts: usize,
  /// Time until the process ends.
  pub remaining: Duration,
}

/// Decides whether a host that is shutting down accepts a request whose response takes up to
/// `response_duration`.
///
/// A request that may be interrupted is better served by another host, unless most hosts are
/// shutting down: it would then probably reach another one that is.
pub fn accepts(shutdown: &Shutdown, response_duration: Duration) -> bool {
  let few_ready_peers = 2 * shutdown.ready_peers < shutdown.hosts;
  response_duration <= shutdown.remaining
    || (few_ready_peers && shutdown.elapsed < INTERRUPTION_EXEMPTION)
}
