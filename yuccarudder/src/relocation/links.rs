use {
  super::Run,
  crate::{placement::Load, roster::Key, routing::Engine},
  std::{collections::HashMap, time::Duration},
};

/// Times longer that a copy to another data centre takes.
const FAR: f64 = 2.0;
/// What a full memory at the destination counts for against time: prompts wait there,
/// and the run may lose its memory again.
const FULL_MEMORY: Duration = Duration::from_millis(150);
/// Time that one copy takes besides its transfer: the call and the set-up of the link.
const OVERHEAD: Duration = Duration::from_millis(8);

/// An engine that may take a run over.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
  /// Its data centre.
  pub data_centre: &'a str,
  /// The engine.
  pub key: Key,
  /// Its load from all hosts.
  pub load: Load,
}

/// One copy in the time of the links, counted from the notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Copy {
  pub destination: Key,
  pub end: Duration,
  pub start: Duration,
}

/// The links of the engines, each of which carries one copy after another.
pub struct Links<'c, 'e> {
  candidates: Vec<(Candidate<'c>, Duration)>,
  engine: &'e Engine,
  sources: HashMap<u64, Duration>,
}

impl<'c, 'e> Links<'c, 'e> {
  /// Takes the links with the copies that are on their way.
  pub fn new(engine: &'e Engine, candidates: impl IntoIterator<Item = Candidate<'c>>) -> Self {
    let free = |candidate: Candidate<'c>| {
      let free = engine.transfer_time(candidate.load.copying);
      (candidate, free)
    };
    Self {
      candidates: candidates.into_iter().map(free).collect(),
      engine,
      sources: HashMap::new(),
    }
  }

  /// Copies a run to the engine where that is done first, less full ones among those.
  pub fn copy(&mut self, source: u64, data_centre: &str, run: &Run) -> Option<Copy> {
    let ready = self.sources.get(&source).copied().unwrap_or_default();
    let fitting = self.candidates.iter().enumerate().filter(|(_, (candidate, _))| {
      let load = &candidate.load;
      load.tokens + run.tokens <= self.engine.kv_cache_tokens && load.runs < self.engine.slots
    });
    let copies = fitting.map(|(index, (candidate, free))| {
      let start = ready.max(*free);
      let distance = if candidate.data_centre == data_centre {
        1.0
      } else {
        FAR
      };
      let near = self.engine.transfer_time(run.held);
      let end = start + near.mul_f64(distance) + OVERHEAD;
      // A longer copy also holds up those behind it on the link of the source.
      let delay = near.mul_f64(distance - 1.0);
      let full = candidate.load.tokens as f64 / self.engine.kv_cache_tokens.max(1) as f64;
      (end + delay + FULL_MEMORY.mul_f64(full), index, start, end)
    });
    let (_, index, start, end) = copies.min_by_key(|copy| copy.0)?;
    self.sources.insert(source, end);
    let (candidate, free) = &mut self.candidates[index];
    *free = end;
    candidate.load.runs += 1;
    candidate.load.tokens += run.tokens;
    Some(Copy {
      destination: candidate.key,
      end,
      start,
    })
  }
}
