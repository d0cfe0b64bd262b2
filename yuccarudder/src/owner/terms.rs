use {crate::tree::Settings, std::time::Duration};

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
  pub fn new(knobs: &Settings) -> Self {
    Self {
      fresh: knobs.fresh_bound,
      grant: knobs.grant_life,
      lag: knobs.list_lag,
      report: knobs.report_lag,
    }
  }

  /// Returns how old a grant is when its job shows in every report that comes with a
  /// request for a usable grant, or has ended.
  ///
  /// The grant was used in time, the request was under way for less than the life of
  /// the grant that it asks for, and the report was late.
  pub fn settled(&self) -> Duration {
    2 * self.grant + self.report
  }

  /// Returns how long a new owner waits before it acts.
  ///
  /// By then a predecessor's view is too old for it to act, and its last grants are
  /// settled.
  pub fn wait(&self) -> Duration {
    let sum = self.fresh + self.lag + self.settled();
    sum + sum / CLOCK_RATE
  }
}
