use {
  super::links::{Candidate, Links},
  crate::{roster::Key, routing::Engine},
  std::time::Duration,
};

/// What a run takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
  /// Tokens that it holds.
  pub cached_tokens: u64,
  /// Tokens that it will need in the end.
  pub peak_tokens: u64,
}

/// An engine that leaves, with its runs from all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
  /// Its data centre.
  pub data_centre: &'a str,
  /// Tokens that its runs hold.
  pub cached_tokens: u64,
  /// Its process.
  pub process: u64,
  /// Its runs.
  pub runs: u32,
  /// Tokens that its runs will need in the end.
  pub peak_tokens: u64,
}

impl Source<'_> {
  /// Returns a run of the usual size there.
  fn usual(&self) -> Run {
    let runs = u64::from(self.runs.max(1));
    Run {
      cached_tokens: self.cached_tokens / runs,
      peak_tokens: self.peak_tokens / runs,
    }
  }
}

/// Which run at which engine is meant, in the order that all hosts share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
  /// The runs at the engine that come before it.
  pub index: u32,
  /// The process of the engine that leaves.
  pub process: u64,
}

/// Where and when one run is copied, counted from the notice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
  /// The engine where it goes on.
  pub destination: Key,
  /// When its copy is complete.
  pub end: Duration,
  /// When its copy starts.
  pub start: Duration,
}

/// Plans where and when a run is copied, among the runs of all hosts.
///
/// Hosts that learn of a leave at the same moment do not know each other's choices, but
/// see the same loads. Each plans the copies of all runs in the same order, and does its
/// own part: so the copies spread over the links of the destinations with no word between
/// the hosts. The engines that leave take turns. Returns `None` when there is no room.
pub fn plan<'c>(
  engine: &Engine,
  sources: &[Source<'_>],
  candidates: impl IntoIterator<Item = Candidate<'c>>,
  position: Position,
  run: Run,
) -> Option<Plan> {
  let mut links = Links::new(engine, candidates);
  let mut own = None;
  let longest = sources.iter().map(|source| source.runs).max().unwrap_or_default();
  for round in 0..longest.max(position.index + 1) {
    for source in sources {
      let is_own = source.process == position.process && round == position.index;
      if !is_own && round >= source.runs {
        continue;
      }
      let copied = if is_own { run } else { source.usual() };
      let Some(copy) = links.copy(source.process, source.data_centre, &copied) else {
        continue;
      };
      if is_own {
        own = Some(copy);
      }
    }
  }
  let own = own?;
  Some(Plan {
    destination: own.destination,
    end: own.end,
    start: own.start,
  })
}
