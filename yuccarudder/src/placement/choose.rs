use {super::Load, crate::roster::Key};

/// Weight of a token that is still to be read in against one that is held: reading one
/// prompt in delays its neighbours about as much as a third of the memory being full.
const ARRIVING_WEIGHT: f64 = 8.0;
/// Share of the memory that prompts which are still to be read in may have: a request is
/// better off in our queue, from where it goes to the first engine that is free, than
/// behind more of them.
const MAX_ARRIVING: f64 = 0.25;
/// Requests for each place that a plain target may have at most, waiting ones included.
const QUEUED: u32 = 3;
/// Share of the memory by which choices of hosts that see the same loads differ.
const JITTER: f64 = 0.04;

/// A target that takes new work.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
  /// Whether it is in its cold start and has got all that it may get now.
  pub cold_limited: bool,
  /// Whether it lately failed so often that others are to be preferred.
  pub ejected: bool,
  /// The target.
  pub key: Key,
  /// Its load from all hosts.
  pub load: Load,
  /// Whether it is in the same data centre as whoever is to reach it.
  pub local: bool,
  /// Requests that it runs at once.
  pub slots: u32,
  /// Whether the request has been there already.
  pub tried: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
  /// Whether it has waited here for as long as that helps: then it may wait at a target,
  /// and one that failed lately is better than a refusal.
  pub last_resort: bool,
  /// Tokens that one target may hold; `None` where memory does not bind.
  pub capacity_tokens: Option<u64>,
  /// Tokens that the request is expected to need in the end.
  pub expected_tokens: u64,
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
  /// This target.
  Chosen(Key),
  /// Every target that the request may go to is full.
  Full,
  /// There is no target that the request may go to.
  None,
}

/// Hosts that may choose by the same loads without meeting at one target too often.
const TOGETHER: f64 = 6.0;
/// Fewest targets that a choice is made among.
const MIN_SAMPLE: f64 = 2.0;

/// Returns the share of the targets that a host chooses among in a fleet of hosts.
///
/// Hosts hear of each other's choices with a delay that grows with the fleet. The more
/// of them choose until then, the more would meet at the target that all see as the least
/// loaded one, so each chooses among a few at random.
pub fn sample_fraction(hosts: usize) -> f64 {
  (TOGETHER / hosts.saturating_sub(1).max(1) as f64).min(1.0)
}

/// Chooses the least loaded target with room, among a random `sample` of those.
///
/// Targets that lately failed are used only when all did; `random` returns numbers
/// from 0 to 1.
pub fn choose(
  candidates: impl IntoIterator<Item = Candidate>,
  demand: &Demand,
  sample: f64,
  mut random: impl FnMut() -> f64,
) -> Choice {
  let mut candidates: Vec<Candidate> =
    candidates.into_iter().filter(|candidate| !candidate.tried).collect();
  if candidates.is_empty() {
    return Choice::None;
  }
  let all_ejected = candidates.iter().all(|candidate| candidate.ejected);
  let passes = |candidate: &Candidate| all_ejected || !candidate.ejected;
  let fits = |candidate: &Candidate| passes(candidate) && has_room(candidate, demand);
  if candidates.iter().any(fits) {
    candidates.retain(fits);
  } else {
    candidates.retain(|candidate| demand.last_resort && may_queue(candidate, demand));
  }
  let count = (candidates.len() as f64 * sample).ceil().max(MIN_SAMPLE) as usize;
  while candidates.len() > count {
    let index = (random() * candidates.len() as f64) as usize;
    candidates.swap_remove(index.min(candidates.len() - 1));
  }
  let ranked = candidates
    .iter()
    .map(|candidate| (cost(candidate, demand) + JITTER * random(), candidate.key));
  match ranked.min_by(|a, b| a.0.total_cmp(&b.0)) {
    Some((_, key)) => Choice::Chosen(key),
    None => Choice::Full,
  }
}

fn has_room(candidate: &Candidate, demand: &Demand) -> bool {
  if candidate.cold_limited {
    return false;
  }
  let load = &candidate.load;
  let memory = demand.capacity_tokens.is_none_or(|memory| {
    let waiting = load.prefill_tokens as f64 <= MAX_ARRIVING * memory as f64;
    waiting && load.expected_tokens + demand.expected_tokens <= memory
  });
  memory && load.requests < candidate.slots
}

/// Returns whether a request may wait at a target that seems full. Loads of other hosts
/// are a little old, and plain services queue; where memory binds, our own queue is better.
fn may_queue(candidate: &Candidate, demand: &Demand) -> bool {
  let queue = candidate.slots.saturating_mul(QUEUED);
  demand.capacity_tokens.is_none() && !candidate.cold_limited && candidate.load.requests < queue
}

fn cost(candidate: &Candidate, demand: &Demand) -> f64 {
  let distance = if candidate.local { 0.0 } else { JITTER };
  let slots = f64::from(candidate.load.requests) / f64::from(candidate.slots.max(1));
  match demand.capacity_tokens {
    Some(memory) => {
      let arriving = ARRIVING_WEIGHT * candidate.load.prefill_tokens as f64;
      (candidate.load.expected_tokens as f64 + arriving) / memory.max(1) as f64 + distance
    }
    None => slots + distance,
  }
}
