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
  /// Prompt tokens that may still be added to those that await prefill.
  pub free_prefill: u64,
  /// Prompt tokens that may await prefill there at most; a larger prompt counts as this many.
  pub max_prefill: u64,
  /// Whether this host can send the request there now.
  pub is_usable: bool,
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
      free_prefill: max_prefill.saturating_sub(known.prefill_tokens),
      max_prefill,
      free_slots: slots.saturating_sub(known.requests),
      is_usable: true,
      own_recent: 0,
      own_freed: false,
    }
  }
}
