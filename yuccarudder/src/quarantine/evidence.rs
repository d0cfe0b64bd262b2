use std::{
  collections::{BTreeMap, HashSet},
  time::{Duration, Instant},
};

/// Crashes closer to each other than this may have one cause, such as the loss of a rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(150);
/// Shortest time in which a request that is sent again crashes the next target.
const MIN_RUN: Duration = Duration::from_millis(5);
/// Differences between the times that hosts report, due to delays of messages.
pub const CLOCK_TOLERANCE: Duration = Duration::from_millis(20);

/// Which crashes at about the same time count separately though the run of the later one was sent before the
/// earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overlap {
  /// All: the feature is in no common use.
  All,
  /// Those that are not at the same moment, if the feature explains all crashes of that time.
  Explained,
  /// None: requests in common use run on all targets, and would explain targets that are lost together.
  None,
}

/// The runs under one feature that ended because their target crashed.
#[derive(Clone, Copy, Debug)]
pub struct CrashedRun {
  /// When the target crashed.
  pub at: Instant,
  /// When the first of these runs was sent to the target.
  pub sent_at: Instant,
}

/// The crashes under one feature.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
  /// The service of the targets.
  pub service: u64,
  /// The crashed targets.
  pub targets: BTreeMap<u64, CrashedRun>,
  /// Targets whose crash no ban covers.
  pub uncovered: HashSet<u64>,
  /// Times of the crashes of the service that neither the feature nor a ban explains, if it is under several.
  pub unexplained: Vec<Instant>,
}

impl Evidence {
  /// Adds a run that ended because a target crashed.
  pub fn add(&mut self, target: u64, run: CrashedRun) {
    let known = self.targets.entry(target).or_insert(run);
    known.at = known.at.min(run.at);
    known.sent_at = known.sent_at.min(run.sent_at);
  }

  /// Returns the times of the crashes that the feature explains, of those that are `counted`, in
  /// ascending order.
  ///
  /// Of crashes at about the same time, those of runs that were sent after the crash before count, and
  /// further ones by `overlap`.
  pub fn crash_times(&self, overlap: Overlap, counted: impl Fn(u64) -> bool) -> Vec<Instant> {
    let runs = self.targets.iter().filter(|(target, _)| counted(**target));
    let mut runs: Vec<CrashedRun> = runs.map(|(_, run)| *run).collect();
    runs.sort_unstable_by_key(|run| run.at);
    let mut times: Vec<Instant> = Vec::new();
    for run in runs {
      let is_separate = |last: &Instant| {
        let is_sent_after = run.sent_at + CLOCK_TOLERANCE >= *last;
        let is_explained = if is_sent_after {
          run.at >= *last + MIN_RUN
        } else {
          match overlap {
            Overlap::All => true,
            Overlap::Explained => {
              run.at >= *last + CLOCK_TOLERANCE && self.explains_all_near(run.at)
            }
            Overlap::None => false,
          }
        };
        is_explained || run.at >= *last + COMMON_CAUSE_WINDOW
      };
      if times.last().is_none_or(is_separate) {
        times.push(run.at);
      }
    }
    times
  }

  /// Returns whether the feature explains all crashes at about a time.
  fn explains_all_near(&self, at: Instant) -> bool {
    let is_near =
      |other: &Instant| *other < at + COMMON_CAUSE_WINDOW && at < *other + COMMON_CAUSE_WINDOW;
    !self.unexplained.iter().any(is_near)
  }

  /// Returns when the first target crashed.
  pub fn first(&self) -> Option<Instant> {
    self.targets.values().map(|run| run.at).min()
  }

  /// Returns when the last target crashed.
  pub fn last(&self) -> Option<Instant> {
    self.targets.values().map(|run| run.at).max()
  }
}
