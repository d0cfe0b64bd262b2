use {
  super::Waiter,
  crate::placement,
  std::time::{Duration, Instant},
};

/// KV cache tokens in the unit in which messages state needs.
pub(super) const NEED_UNIT: u64 = 256;
/// Largest need that counts, in units; more is a mistake.
const MAX_NEED: u32 = 1 << 16;
/// Longest time to wait that counts; more is a mistake.
const MAX_REMAINING: Duration = Duration::from_secs(60);
/// Largest priority that is told apart.
const MAX_PRIORITY: u32 = 255;
/// The bit of a rank that is set when the response can no longer meet its latency objective. It stands above
/// those of the priority.
const LATE_BIT: u32 = 1 << 9;
/// Number of bits of a rank below the priority: one states whether the account uses more than its share.
const PRIORITY_SHIFT: u32 = 1;

/// A request that waits for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
  /// Its number in the queue of its host; 0 for requests of other hosts.
  pub sequence: u64,
  /// Class in the order of all requests; the lowest is served first.
  pub rank: u32,
  /// When it stops waiting.
  pub give_up_at: Instant,
  /// Time until then when it was last told, in milliseconds.
  pub remaining_ms: u32,
  /// KV cache tokens that it is expected to need.
  pub need: u64,
}

fn need_units(tokens: u64) -> u32 {
  u32::try_from(tokens.div_ceil(NEED_UNIT)).unwrap_or(u32::MAX).clamp(1, MAX_NEED)
}

impl Request {
  /// Builds the request for an entry of the queue of this host.
  pub fn new(entry: &placement::Entry, now: Instant) -> Self {
    let rank = entry.rank();
    let remaining = rank.give_up_at.saturating_duration_since(now).min(MAX_REMAINING);
    let late = if rank.late { LATE_BIT } else { 0 };
    Self {
      sequence: entry.sequence(),
      rank: late | rank.priority.min(MAX_PRIORITY) << PRIORITY_SHIFT | u32::from(rank.over_share),
      give_up_at: rank.give_up_at,
      remaining_ms: remaining.as_millis() as u32,
      need: u64::from(need_units(entry.need())) * NEED_UNIT,
    }
  }

  /// Returns the request of another host, with numbers that cannot be true clamped.
  pub(super) fn from_message(waiter: &Waiter, now: Instant) -> Self {
    let remaining = Duration::from_millis(waiter.remaining_ms.into()).min(MAX_REMAINING);
    Self {
      sequence: 0,
      rank: waiter.rank,
      give_up_at: now + remaining,
      remaining_ms: remaining.as_millis() as u32,
      need: u64::from(waiter.need.clamp(1, MAX_NEED)) * NEED_UNIT,
    }
  }

  /// Returns what the other hosts are told of it.
  pub(super) fn message(&self) -> Waiter {
    Waiter {
      rank: self.rank,
      remaining_ms: self.remaining_ms,
      need: need_units(self.need),
    }
  }
}
