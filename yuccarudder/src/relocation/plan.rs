use {
  super::links::{Candidate, Links},
  crate::{roster::Key, routing::Engine},
  std::time::Duration,
};

/// The KV cache that a run needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
  /// KV cache tokens that it occupies now.
  pub cached_tokens: u64,
  /// KV cache tokens that it is expected to need when the memory use of its engine peaks; this is
  /// less than its full length, as the runs of an engine do not peak at the same time.
  pub peak_tokens: u64,
}

/// An engine that is about to leave, with its runs summed over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
  /// Its data centre.
  pub data_centre: &'a str,
  /// KV cache tokens that its runs occupy now.
  pub cached_tokens: u64,
  /// Fingerprint of its process.
  pub fingerprint: u64,
  /// Number of its runs.
  pub runs: u32,
  /// KV cache tokens that its runs are expected to need when its memory use peaks; this is less
  /// than the sum of their full lengths, as they do not peak at the same time.
  pub peak_tokens: u64,
}

impl Source<'_> {
  /// Returns a run of the average size on this engine.
  fn average_run(&self) -> Run {
    let runs = u64::from(self.runs.max(1));
    Run {
      cached_tokens: self.cached_tokens / runs,
      peak_tokens: self.peak_tokens / runs,
    }
  }
}

/// The position of a run in the order in which all hosts plan copies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
  /// Number of runs on the same engine that are planned before it.
  pub index: u32,
  /// Fingerprint of the process of the engine that leaves.
  pub fingerprint: u64,
}

/// The planned copy of one run; times are counted from when the departure was noticed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
  /// The engine on which the run continues.
  pub destination: Key,
  /// When the copy is complete.
  pub end: Duration,
  /// When the copy starts.
  pub start: Duration,
}

/// Plans where and when a run is copied, taking into account the runs of all hosts.
///
/// Hosts that learn at the same moment that engines leave do not know each other's choices,
/// but see the same loads. Each host plans the copies of all runs in the same order, one run of
/// each leaving engine per round, and carries out only its own. So the copies spread over the
/// links of the destinations without coordination. Returns `None` when no engine has capacity
/// for the run.
pub fn plan<'c>(
  engine: &Engine,
  sources: &[Source<'_>],
  candidates: impl IntoIterator<Item = Candidate<'c>>,
  position: Position,
  run: Run,
) -> Option<Plan> {
  let mut links = Links::new(engine, candidates);
  let mut own = None;
  let max_runs = sources.iter().map(|source| source.runs).max().unwrap_or_default();
  for round in 0..max_runs.max(position.index + 1) {
    for source in sources {
      let is_own = source.fingerprint == position.fingerprint && round == position.index;
      if !is_own && round >= source.runs {
        continue;
      }
      let to_copy = if is_own { run } else { source.average_run() };
      let Some(transfer) = links.schedule(source.fingerprint, source.data_centre, &to_copy) else {
        continue;
      };
      if is_own {
        own = Some(transfer);
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
