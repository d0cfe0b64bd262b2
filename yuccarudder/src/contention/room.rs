use crate::placement::Load;

/// Maximum fraction of an engine's KV cache that prompts awaiting prefill may take; requests that are dealt
/// places in one heartbeat interval arrive together.
const MAX_PREFILL_FRACTION: f64 = 0.25;

/// The free room at a target, as all hosts know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
  /// Fingerprint of the target.
  pub target: u64,
  /// KV cache tokens that no known request is expected to need.
  pub free_tokens: u64,
  /// Prompt tokens that may still be added to those that await prefill; `None` if there are too many already.
  pub free_prefill: Option<u64>,
  /// Number of further requests that the target runs concurrently.
  pub free_slots: u32,
  /// Number of requests that this host placed there since it last told its load.
  pub own_recent: u32,
  /// Whether requests of this host ended there since it last told its load, and left room for the request.
  pub own_freed: bool,
}

impl Room {
  /// Returns the room at a target with a capacity in tokens and in slots, given its known load.
  pub fn new(target: u64, capacity_tokens: u64, slots: u32, known: &Load) -> Self {
    let max_prefill = (MAX_PREFILL_FRACTION * capacity_tokens as f64) as u64;
    Self {
      target,
      free_tokens: capacity_tokens.saturating_sub(known.expected_tokens),
      free_prefill: max_prefill.checked_sub(known.prefill_tokens),
      free_slots: slots.saturating_sub(known.requests),
      own_recent: 0,
      own_freed: false,
    }
  }

  /// Returns how many requests of a typical need fit, or 1 if only a smallest one does.
  pub(super) fn places(&self, typical: u64, smallest: u64) -> u32 {
    let Some(free_prefill) = self.free_prefill else {
      return 0;
    };
    let typical = typical.max(1);
    let by_memory = match self.free_tokens / typical {
      0 if smallest <= self.free_tokens => 1,
      places => places,
    };
    let places = by_memory.min(free_prefill / typical + 1).min(self.free_slots.into());
    u32::try_from(places).unwrap_or(u32::MAX)
  }
}
