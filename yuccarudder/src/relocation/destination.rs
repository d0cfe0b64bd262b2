use {
  crate::{placement::Load, roster::Key, routing::Engine},
  std::time::Duration,
};

/// Times longer that a copy to another data centre takes.
const FAR: f64 = 2.0;
/// What a full memory at the destination counts for against time on its link: prompts
/// wait there, and the run may lose its memory again.
const FULL_MEMORY: Duration = Duration::from_millis(400);
/// Differences that do not matter, by which choices of several hosts spread.
const JITTER: Duration = Duration::from_millis(30);

/// An engine that may take a run over.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
  /// Whether it lately failed so often that others are to be preferred.
  pub ejected: bool,
  /// The engine.
  pub key: Key,
  /// Its load from all hosts.
  pub load: Load,
  /// Whether it is in the data centre of the engine that leaves.
  pub near: bool,
}

/// Chooses where a run that holds `held` tokens and will need `tokens` goes on.
///
/// The link of an engine takes one copy after another, so the copies are spread: the
/// choice is the engine where this copy is complete first, and less full ones among those.
pub fn destination(
  candidates: impl IntoIterator<Item = Candidate>,
  engine: &Engine,
  held: u64,
  tokens: u64,
  mut random: impl FnMut() -> f64,
) -> Option<Key> {
  let fits = |candidate: &Candidate| {
    let load = &candidate.load;
    !candidate.ejected && load.tokens + tokens <= engine.memory_tokens && load.runs < engine.slots
  };
  let ranked = candidates.into_iter().filter(fits).map(|candidate| {
    let jitter = JITTER.mul_f64(random());
    (cost(&candidate, engine, held) + jitter, candidate.key)
  });
  ranked.min_by_key(|(cost, _)| *cost).map(|(_, key)| key)
}

fn cost(candidate: &Candidate, engine: &Engine, held: u64) -> Duration {
  let distance = if candidate.near { 1.0 } else { FAR };
  let copy = engine.copy_time(held).mul_f64(distance);
  let full = candidate.load.tokens as f64 / engine.memory_tokens.max(1) as f64;
  engine.copy_time(candidate.load.copying) + copy + FULL_MEMORY.mul_f64(full)
}
