use {crate::routing::Engine, std::time::Duration};

/// Shortest time from the notice that an engine leaves until it is gone.
const NOTICE: Duration = Duration::from_millis(1400);
/// Time at the end of the notice for the runs to stop, one shortly after another, and
/// for the last part of their memory to be copied.
const STOPPING: Duration = Duration::from_millis(250);
/// Time that one copy takes besides its transfer: the call and the set-up of the link.
const COPY_OVERHEAD: Duration = Duration::from_millis(8);
/// Time for copies to other data centres, which take longer, as a factor of all copies.
const DISTANCE: f64 = 1.25;

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

/// When a run is copied from an engine that leaves, counted from the notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
  /// When the copy is ordered, while the run goes on.
  pub copy: Duration,
  /// When the run is stopped and the rest is copied.
  pub stop: Duration,
}

/// Plans when a run is copied.
///
/// The link of an engine carries one copy after another, and a run stands still from its
/// stop until the rest of its memory has arrived. If it stopped while other runs were
/// being copied, that rest would wait behind them and the caller would notice. So all
/// hosts copy first what fits into the notice, and stop their runs when the links are
/// idle again. Runs that do not fit are copied after that, in case the notice is longer.
///
/// `before` are the runs at the engine that come before this one in the order that all
/// hosts share, `longest` is the longest queue among the engines that leave together, and
/// `tokens` is what this run holds.
pub fn schedule(engine: &Engine, before: Queue, longest: Queue, tokens: u64) -> Schedule {
  let window = NOTICE - STOPPING;
  let end = before.with(1, tokens).time(engine);
  let stop = longest.time(engine).min(window);
  if end <= window {
    return Schedule {
      copy: Duration::ZERO,
      stop,
    };
  }
  let own = Queue::default().with(1, tokens).time(engine);
  let copy = window + STOPPING / 2 + (end - window).saturating_sub(own);
  Schedule {
    copy,
    stop: copy + own,
  }
}
