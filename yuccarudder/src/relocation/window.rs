use {
  super::Plan,
  crate::span,
  std::time::{Duration, Instant},
};

/// Notice period (the time from when a departure is noticed until the engine is gone) that is
/// assumed until the engine reports it.
const ASSUMED_NOTICE: Duration = Duration::from_millis(2000);
/// Age of an engine's report when it arrives; engines report with a lag of 500 ms.
const REPORT_AGE: Duration = Duration::from_millis(600);
/// Time from when a departure is noticed until the engine's report shows it.
pub const REPORT_LAG: Duration = Duration::from_millis(560);
/// Time at the end of the notice period for a run to resume at the destination.
const RESUME_TIME: Duration = Duration::from_millis(40);
/// Fraction of the time until a copy's planned start after which it is requested. Engines
/// copy in the order of the requests, so an early request leaves no gap on the link if
/// earlier copies take less time than planned.
const REQUEST_FRACTION: f64 = 0.4;

/// Returns when the process of an engine ends, given the remaining time in a report that arrived
/// at `now`.
pub fn leaves_at(shutdown_in: Duration, now: Instant) -> Instant {
  let reported_at = now.checked_sub(REPORT_AGE).unwrap_or(now);
  span::after(reported_at, shutdown_in)
}

/// The time in which runs can be copied from an engine that leaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Window {
  /// Time from when the departure was noticed until the engine is gone, if known.
  pub notice: Option<Duration>,
}

impl Window {
  /// Returns when to request a copy, counted from when the departure was noticed; `None` when the
  /// copy would end too late and only delay others.
  pub fn request_at(&self, plan: &Plan) -> Option<Duration> {
    self.ends_in_time(plan.end).then(|| plan.start.mul_f64(REQUEST_FRACTION))
  }

  fn ends_in_time(&self, end: Duration) -> bool {
    let latest = self.notice.unwrap_or(ASSUMED_NOTICE).saturating_sub(RESUME_TIME);
    end <= latest
  }
}
