use {
  super::directory,
  crate::{
    refusal::{Reason, Refusal},
    routing::{Kind, Route},
  },
  std::time::Duration,
};

/// Time before the end of the process by which responses must be complete, as a slow host needs some
/// to send the rest of them.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time after the start of a shutdown during which a request may be accepted that is only expected to
/// end before the process. The platform counts interrupted requests as failures only if they arrived
/// later.
const INTERRUPTION_EXEMPTION: Duration = Duration::from_millis(2500);
/// Maximum time per generated token on an engine under heavy load.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(15);
/// Retry-after time when most of the other hosts are ready; one of them can serve the request at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// How long the response to a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseTime {
  /// Estimate that leaves out any wait at the target.
  pub expected: Duration,
  /// Time until the request ends whatever the target does.
  pub max: Duration,
}

impl ResponseTime {
  /// Estimates the response time of a request with `time_left` until its deadline, whose response is
  /// expected to have `tokens` if it is generated.
  pub fn new(route: &Route, tokens: u64, time_left: Duration) -> Self {
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    let expected = match route.kind {
      Kind::Stream { .. } => route.latency_objective + MAX_TOKEN_TIME.saturating_mul(tokens),
      Kind::AtMostOnce | Kind::Idempotent => time_left,
    };
    Self {
      expected: expected.min(time_left),
      max: time_left,
    }
  }
}

/// The progress of a host's shutdown.
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

impl Shutdown {
  /// Refuses a request whose response may be interrupted by the end of the process.
  ///
  /// Such a request is better served by another host. While most hosts are shutting down it would
  /// probably reach another one that is, so an early one is accepted if it is expected to end in time.
  ///
  /// # Errors
  ///
  /// Fails with the refusal.
  pub fn check(&self, time: &ResponseTime) -> Result<(), Refusal> {
    let available = self.remaining.saturating_sub(ANSWER_MARGIN);
    let is_likely = self.elapsed < INTERRUPTION_EXEMPTION && time.expected <= available;
    if time.max <= available || (self.has_few_ready_peers() && is_likely) {
      return Ok(());
    }
    let retry_after = match self.ready_peers {
      // The hosts that replace those which are shutting down start then.
      0 => self.remaining,
      // By then, callers have asked for the hosts that are ready.
      _ if self.has_few_ready_peers() => directory::MAX_TIME_TO_LIVE,
      _ => RETRY_AFTER,
    };
    let detail = format!(
      "the response may take {} ms, and this host ends in {} ms",
      time.max.as_millis(),
      self.remaining.as_millis()
    );
    Err(Refusal::not_run(Reason::HostLeaving).with_retry_after(retry_after).with_detail(detail))
  }

  fn has_few_ready_peers(&self) -> bool {
    2 * self.ready_peers < self.hosts
  }
}

/// Returns the answer to a request that has none when the process is about to end.
pub fn last_refusal(may_have_run: bool) -> Refusal {
  if may_have_run {
    Refusal::unknown(Reason::HostLeaving)
  } else {
    Refusal::not_run(Reason::HostLeaving).with_retry_after(RETRY_AFTER)
  }
}
