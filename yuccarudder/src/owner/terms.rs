use {crate::tree::Knobs, std::time::Duration};

/// Clocks of two hosts run apart by less than one part in this.
const CLOCK_RATE: u32 = 100;

/// The times on which ownership rests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
  /// Oldest view of the host list with which an owner acts.
  pub fresh: Duration,
  /// Time for which a grant may be used.
  pub grant: Duration,
  /// Longest time for which the platform may still show an older list.
  pub lag: Duration,
  /// Longest time by which a target's report of its load is late.
  pub report: Duration,
}

impl Terms {
  /// Reads the times from the operator's knobs.
  pub fn new(knobs: &Knobs) -> Self {
    Self {
      fresh: knobs.fresh_bound,
      grant: knobs.grant_life,
      lag: knobs.list_lag,
      report: knobs.report_lag,
    }
  }

  /// Returns how long a new owner waits before it acts.
  ///
  /// By then a predecessor's view is too old for it to act, its last grants can no
  /// longer be used, and the jobs sent on them show in the targets' reports.
  pub fn wait(&self) -> Duration {
    let sum = self.fresh + self.grant + self.lag + self.report;
    sum + sum / CLOCK_RATE
  }
}
