use {
  super::Run,
  crate::{placement::Load, roster::Key, routing::Engine},
  std::{collections::HashMap, time::Duration},
};

/// Factor by which a copy to another data centre takes longer.
const REMOTE_FACTOR: f64 = 2.0;
/// Penalty for a destination whose KV cache is full, where prompts wait and the run may be
/// preempted; scaled by the share that is in use.
const FULL_MEMORY_PENALTY: Duration = Duration::from_millis(150);
/// Time that a copy takes in addition to the transfer: the request and the connection set-up.
const COPY_OVERHEAD: Duration = Duration::from_millis(8);

/// An engine to which a run may be copied.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
  /// Its data centre.
  pub data_centre: &'a str,
  /// Its key in the roster.
  pub key: Key,
  /// Its load, summed over all hosts.
  pub load: Load,
  /// How much later the copy may end at another destination for that one to be preferred, because of what the run
  /// would risk here.
  pub penalty: Duration,
}

/// A scheduled copy; times are counted from when the departure was noticed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
  pub destination: Key,
  pub end: Duration,
  pub start: Duration,
}

/// A schedule of the engines' network links, each of which carries one copy at a time.
pub struct Links<'c, 'e> {
  /// The destinations, each with the time from which its link is free.
  candidates: Vec<(Candidate<'c>, Duration)>,
  engine: &'e Engine,
  /// The time from which the link of each source is free, by the fingerprint of its process.
  sources: HashMap<u64, Duration>,
}

impl<'c, 'e> Links<'c, 'e> {
  /// Creates a schedule in which the links are busy with the copies already in progress.
  pub fn new(engine: &'e Engine, candidates: impl IntoIterator<Item = Candidate<'c>>) -> Self {
    let with_free_at = |candidate: Candidate<'c>| {
      let free_at = engine.transfer_time(candidate.load.transfer_tokens);
      (candidate, free_at)
    };
    Self {
      candidates: candidates.into_iter().map(with_free_at).collect(),
      engine,
      sources: HashMap::new(),
    }
  }

  /// Schedules the copy of a run to the engine with the lowest cost: the time at which the
  /// copy ends, plus the delay that it causes on the link of the source and a penalty for
  /// memory in use. Returns `None` when no engine has capacity.
  pub fn schedule(
    &mut self,
    source_fingerprint: u64,
    source_data_centre: &str,
    run: &Run,
  ) -> Option<Transfer> {
    let source_free_at = self.sources.get(&source_fingerprint).copied().unwrap_or_default();
    let eligible = self.candidates.iter().enumerate().filter(|(_, (candidate, _))| {
      let load = &candidate.load;
      load.expected_tokens.saturating_add(run.peak_tokens) <= self.engine.kv_cache_tokens
        && load.requests < self.engine.slots
    });
    let transfers = eligible.map(|(index, (candidate, free_at))| {
      let start = source_free_at.max(*free_at);
      let factor = if candidate.data_centre == source_data_centre {
        1.0
      } else {
        REMOTE_FACTOR
      };
      let local_time = self.engine.transfer_time(run.cached_tokens);
      let end = start + local_time.mul_f64(factor) + COPY_OVERHEAD;
      // A longer copy also delays the next ones on the link of the source.
      let delay = local_time.mul_f64(factor - 1.0);
      let used_share =
        candidate.load.expected_tokens as f64 / self.engine.kv_cache_tokens.max(1) as f64;
      (
        end + delay + candidate.penalty + FULL_MEMORY_PENALTY.mul_f64(used_share),
        index,
        start,
        end,
      )
    });
    let (_, index, start, end) = transfers.min_by_key(|transfer| transfer.0)?;
    self.sources.insert(source_fingerprint, end);
    let (candidate, free_at) = &mut self.candidates[index];
    *free_at = end;
    candidate.load.requests += 1;
    candidate.load.expected_tokens += run.peak_tokens;
    Some(Transfer {
      destination: candidate.key,
      end,
      start,
    })
  }
}
