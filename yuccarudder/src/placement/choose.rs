use {super::Load, crate::roster::Key, std::time::Instant};

/// Cost of a prompt token that awaits prefill, relative to an expected token: the prefill
/// of one prompt delays the other requests of an engine about as much as a third of its KV
/// cache being full.
pub const PREFILL_TOKEN_WEIGHT: f64 = 8.0;
/// Maximum saving by a held prompt prefix. A target that is used by this much more of its KV cache is never
/// preferred for what it holds, however large the parts are said to be.
const MAX_PREFIX_SAVING: f64 = 0.5;
/// Maximum fraction of an engine's KV cache that prompts awaiting prefill may take. Beyond it,
/// a request waits in this host's queue, from where it can go to the first free engine.
const MAX_PREFILL_FRACTION: f64 = 0.25;
/// Maximum number of requests per slot at a target that is not an engine, including those queued
/// there.
const MAX_REQUESTS_PER_SLOT: u32 = 3;
/// Upper bound of the random part of a cost, as a fraction of a target's capacity. It makes
/// hosts that see the same loads choose different targets. Also the penalty of a target in
/// another data centre.
const COST_JITTER: f64 = 0.04;

/// A target that accepts new requests.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
  /// Whether the order of the waiting requests of all hosts leaves a place there to this one.
  pub granted: bool,
  /// Expected harm of the request at this target beyond the use of its capacity, in the unit of the
  /// utilization.
  pub surcharge: f64,
  /// Whether it is in its cold start and this host has reached its share of the rate limit.
  pub cold_limited: bool,
  /// Whether it is ejected after recent failures; it is used only if all others are, too,
  /// or as a last resort at a plain target.
  pub ejected: bool,
  /// Key of the target in the roster.
  pub key: Key,
  /// Load that all hosts together place on it.
  pub load: Load,
  /// Whether it is in the data centre of this host.
  pub local: bool,
  /// Until when it wants no request from this host, if it asked for a pause.
  pub paused_until: Option<Instant>,
  /// How many further requests this host may send to it; `None` if it is not brittle.
  pub room: Option<u32>,
  /// Maximum number of requests that it runs concurrently.
  pub slots: u32,
  /// Whether the request has already been sent to it.
  pub tried: bool,
}

/// The resources that a request needs from a target.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
  /// Whether the request has used up its time in this host's queue. It may then queue at a
  /// target, and an ejected target is better than a refusal.
  pub last_resort: bool,
  /// KV cache capacity of one target; `None` if the service is not limited by memory.
  pub capacity_tokens: Option<u64>,
  /// KV cache tokens that the request is expected to need when the memory use of the target peaks;
  /// this is less than its full length, as the requests of a target do not peak at the same time.
  pub expected_tokens: u64,
}

/// The result of target selection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
  /// The selected target.
  Chosen(Key),
  /// No target that the request may still be sent to has capacity.
  Full,
  /// The request has been sent to every target that accepts requests, or there is none.
  None,
  /// All targets that the request may still be sent to have asked for a pause; the first ends at
  /// the given time.
  Paused(Instant),
}

/// Number of other hosts up to which each host considers all targets. With more, hosts that
/// see the same loads would select the same target too often.
const MAX_UNSAMPLED_PEERS: f64 = 6.0;
/// Minimum number of targets in a sample.
const MIN_SAMPLE_SIZE: f64 = 2.0;

/// Difference of surcharges up to which targets count as equal for the size of a sample. Jitter and distance
/// change a cost by up to twice `COST_JITTER`, so smaller differences decide little.
const SURCHARGE_BAND: f64 = 0.2;

/// Returns the fraction of the targets that a host samples, given the number of hosts.
///
/// Load reports of other hosts arrive with a delay that grows with the number of hosts.
/// Until then, hosts with the same stale loads would all select the same least loaded
/// target, so each host selects from a random sample.
pub fn sample_fraction(hosts: usize) -> f64 {
  (MAX_UNSAMPLED_PEERS / hosts.saturating_sub(1).max(1) as f64).min(1.0)
}

/// Selects the least loaded target from a random sample of those with capacity.
///
/// `fraction` is the size of the sample relative to the number of those targets. Ejected
/// targets are used only if all targets are ejected or, at a plain service, as a last resort.
/// `random` returns numbers from 0 to 1.
pub fn choose(
  candidates: impl IntoIterator<Item = Candidate>,
  demand: &Demand,
  fraction: f64,
  mut random: impl FnMut() -> f64,
) -> Choice {
  let mut candidates: Vec<Candidate> =
    candidates.into_iter().filter(|candidate| !candidate.tried).collect();
  let first_end = candidates.iter().filter_map(|candidate| candidate.paused_until).min();
  candidates.retain(|candidate| candidate.paused_until.is_none());
  if candidates.is_empty() {
    return first_end.map_or(Choice::None, Choice::Paused);
  }
  let all_ejected = candidates.iter().all(|candidate| candidate.ejected);
  let usable = |candidate: &Candidate| all_ejected || !candidate.ejected;
  let fits = |candidate: &Candidate| usable(candidate) && has_capacity(candidate, demand);
  if candidates.iter().any(fits) {
    candidates.retain(fits);
  } else {
    candidates.retain(|candidate| demand.last_resort && may_queue(candidate, demand));
  }
  // A sample is expected to hold as many of the targets with the lowest surcharge as if there were only these.
  let lowest = candidates.iter().map(|it| it.surcharge).fold(f64::INFINITY, f64::min);
  let preferred = candidates.iter().filter(|it| it.surcharge <= lowest + SURCHARGE_BAND).count();
  let dilution = candidates.len() as f64 / preferred.max(1) as f64;
  let sample_size = candidates.len() as f64 * fraction * dilution;
  let sample_size = sample_size.ceil().max(MIN_SAMPLE_SIZE) as usize;
  while candidates.len() > sample_size {
    let index = (random() * candidates.len() as f64) as usize;
    candidates.swap_remove(index.min(candidates.len() - 1));
  }
  let costs = candidates.iter().map(|candidate| {
    (
      cost(candidate, demand) + candidate.surcharge + COST_JITTER * random(),
      candidate.key,
    )
  });
  match costs.min_by(|a, b| a.0.total_cmp(&b.0)) {
    Some((_, key)) => Choice::Chosen(key),
    None => Choice::Full,
  }
}

fn has_capacity(candidate: &Candidate, demand: &Demand) -> bool {
  if candidate.cold_limited || !candidate.granted || candidate.room == Some(0) {
    return false;
  }
  let load = &candidate.load;
  let memory_suffices = demand.capacity_tokens.is_none_or(|capacity| {
    let prefill_allowed = load.prefill_tokens as f64 <= MAX_PREFILL_FRACTION * capacity as f64;
    prefill_allowed && load.expected_tokens.saturating_add(demand.expected_tokens) <= capacity
  });
  // The places of a brittle target are shared out, so reports of its load, which are late, don't matter.
  memory_suffices && (candidate.room.is_some() || load.requests < candidate.slots)
}

/// Returns whether a request may queue at a target that seems full.
///
/// Targets that are not engines have queues of their own, and the known loads of other hosts are
/// slightly out of date. For services limited by memory, the queue of this host is better.
fn may_queue(candidate: &Candidate, demand: &Demand) -> bool {
  let max_requests = candidate.slots.saturating_mul(MAX_REQUESTS_PER_SLOT);
  demand.capacity_tokens.is_none()
    && !candidate.cold_limited
    && candidate.room.is_none()
    && candidate.load.requests < max_requests
}

/// Returns the utilization of a target, plus a penalty if it is in another data centre.
///
/// Where memory is the limit, it is the utilization of the KV cache, with prompts that await
/// prefill counted by their weight; otherwise that of the slots.
fn cost(candidate: &Candidate, demand: &Demand) -> f64 {
  let distance_penalty = if candidate.local { 0.0 } else { COST_JITTER };
  let slot_utilization = f64::from(candidate.load.requests) / f64::from(candidate.slots.max(1));
  match demand.capacity_tokens {
    Some(capacity) => {
      let weighted_prefill = PREFILL_TOKEN_WEIGHT * candidate.load.prefill_tokens as f64;
      (candidate.load.expected_tokens as f64 + weighted_prefill) / capacity.max(1) as f64
        + distance_penalty
    }
    None => slot_utilization + distance_penalty,
  }
}

/// Returns how much less a request costs at a target that need not prefill `held_tokens` of its prompt,
/// in the unit of the utilization; 0 where memory is not the limit.
pub fn prefix_saving(held_tokens: u64, demand: &Demand) -> f64 {
  let weighted_prefill = PREFILL_TOKEN_WEIGHT * held_tokens as f64;
  demand.capacity_tokens.map_or(0.0, |capacity| {
    (weighted_prefill / capacity.max(1) as f64).min(MAX_PREFIX_SAVING)
  })
}
