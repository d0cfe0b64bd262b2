use {crate::tree::Settings, std::time::Duration};

/// The clocks of two hosts drift apart by less than the elapsed time divided by this.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Time limits from which the waits of owners follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
  /// Largest age of the host list at which an owner acts.
  pub max_list_age: Duration,
  /// Time for which a grant may be used.
  pub grant_lifetime: Duration,
  /// Longest time for which the platform may return an older list after a new one was published.
  pub list_lag: Duration,
  /// Longest delay of the load that a target reports.
  pub report_lag: Duration,
}

impl Timing {
  /// Takes the limits from the operator's settings.
  pub fn new(settings: &Settings) -> Self {
    Self {
      max_list_age: settings.fresh_bound,
      grant_lifetime: settings.grant_life,
      list_lag: settings.list_lag,
      report_lag: settings.report_lag,
    }
  }

  /// Returns the age from which a grant is settled: its job has ended or is included in every
  /// report that comes with a request for a grant that can still be used.
  ///
  /// This is the sum of the lifetime of the grant, in which it was used, the lifetime of the
  /// requested grant, which bounds the delay of the request, and the delay of the report.
  pub fn settle_time(&self) -> Duration {
    2 * self.grant_lifetime + self.report_lag
  }

  /// Returns how long a new owner waits before it acts.
  ///
  /// By then the list of a predecessor is too old for it to act, and its last grants are
  /// settled.
  pub fn takeover_wait(&self) -> Duration {
    let sum = self.max_list_age + self.list_lag + self.settle_time();
    sum + sum / CLOCK_DRIFT_DIVISOR
  }
}
