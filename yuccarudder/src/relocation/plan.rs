use {crate::routing::Engine, std::time::Duration};

/// Time from the notice that an engine leaves until it is gone, where it is not known.
const NOTICE: Duration = Duration::from_millis(1400);
/// Age of an engine's report when it arrives; engines report with a lag of half a second.
pub const REPORT_AGE: Duration = Duration::from_millis(600);
/// Time from the notice until an engine's report tells of it.
pub const REPORT_LAG: Duration = Duration::from_millis(560);
/// Time for the report to arrive.
const REPORT_MARGIN: Duration = Duration::from_millis(40);
/// Time at the end of the notice for the runs to stop, one shortly after another, and
/// for the last part of their memory to be copied.
const STOPPING: Duration = Duration::from_millis(200);
/// Time that one copy takes besides its transfer: the call and the set-up of the link.
const COPY_OVERHEAD: Duration = Duration::from_millis(8);
/// Time for copies to other data centres, which take longer, as a factor of all copies.
const DISTANCE: f64 = 1.15;

/// The copies that the link of an engine that leaves has to carry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Queue {
  /// Runs.
  pub runs: u32,
  /// Tokens of memory that they hold.
  pub tokens: u64,
}

impl Queue {
  /// Returns the time that the copies take one after another.
  fn time(&self, engine: &Engine) -> Duration {
    engine.copy_time(self.tokens).mul_f64(DISTANCE) + COPY_OVERHEAD * self.runs
  }

  /// Adds copies.
  #[must_use]
  pub fn with(self, runs: u32, tokens: u64) -> Self {
    Self {
      runs: self.runs + runs,
      tokens: self.tokens + tokens,
    }
  }
}

/// The copy of one run from an engine that leaves, among those of all hosts.
///
/// The link of an engine carries one copy after another, and a run stands still from its
/// stop until the rest of its memory has arrived. If it stopped while other runs were
/// being copied, that rest would wait behind them and the caller would notice. So all
/// hosts copy first what fits into the notice, and stop their runs when the links are
/// idle again. Runs that do not fit are copied after that, in case there is time left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
  /// The runs at the engine that come before this one in the order that all hosts share.
  pub before: Queue,
  /// The longest queue among the engines that leave together.
  pub longest: Queue,
  /// Tokens that this run holds.
  pub tokens: u64,
}

impl Plan {
  /// Returns when the run is copied while it goes on, counted from the notice.
  ///
  /// `notice` is the time from the notice until the engine is gone, if it is known.
  pub fn copy_at(&self, engine: &Engine, notice: Option<Duration>) -> Duration {
    let window = window(notice);
    let end = self.before.with(1, self.tokens).time(engine);
    if end <= window {
      return Duration::ZERO;
    }
    if notice.is_none() {
      return REPORT_LAG + REPORT_MARGIN;
    }
    window + STOPPING / 2
  }

  /// Returns when the run is stopped and the rest is copied, counted from the notice.
  pub fn stop_at(&self, engine: &Engine, notice: Option<Duration>) -> Duration {
    self.longest.time(engine).min(window(notice))
  }
}

/// Returns the time from the notice until the runs have to stop.
fn window(notice: Option<Duration>) -> Duration {
  notice.unwrap_or(NOTICE).saturating_sub(STOPPING)
}
