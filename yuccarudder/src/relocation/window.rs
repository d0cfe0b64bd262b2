use {
  super::Plan,
  std::time::{Duration, Instant},
};

/// Time from the notice that is hoped for until the engine's report tells more.
const HOPED_FOR: Duration = Duration::from_millis(2000);
/// Age of an engine's report when it arrives; engines report with a lag of half a second.
const REPORT_AGE: Duration = Duration::from_millis(600);
/// Time from the notice until an engine's report tells of it.
pub const REPORT_LAG: Duration = Duration::from_millis(560);
/// Time at the end of the notice for a run to go on at the other engine.
const SWITCHING: Duration = Duration::from_millis(40);
/// Share of the time until a copy's planned start after which it is ordered: engines
/// keep the order, and the link has no gap if earlier copies take less than planned.
const LEAD: f64 = 0.4;

/// Returns when an engine is gone whose report, which arrived at `now`, gives it a time.
pub fn leaves_at(leaves_in: Duration, now: Instant) -> Instant {
  let made = now.checked_sub(REPORT_AGE).unwrap_or(now);
  made + leaves_in
}

/// The time in which the runs of an engine that leaves are copied.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Window {
  /// Time from the notice until the engine is gone, if it is known.
  pub notice: Option<Duration>,
}

impl Window {
  /// Returns when a copy is ordered, counted from the notice; `None` when it would come
  /// too late and hold up others.
  pub fn request_at(&self, plan: &Plan) -> Option<Duration> {
    self.fits(plan.end).then(|| plan.start.mul_f64(LEAD))
  }

  fn fits(&self, end: Duration) -> bool {
    let latest = self.notice.unwrap_or(HOPED_FOR).saturating_sub(SWITCHING);
    end <= latest
  }
}
