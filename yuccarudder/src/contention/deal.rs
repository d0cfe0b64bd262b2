//! Deals out the free room at targets to the waiting requests of all hosts.

use {
  super::{Request, Room},
  std::{
    cmp::Ordering,
    time::{Duration, Instant},
  },
};

/// A request in the order of all hosts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
  /// Hash of its host.
  pub host: u64,
  /// Whether it is a request of this host.
  pub is_own: bool,
  /// Whether the other hosts have not been told of it yet.
  pub is_untold: bool,
  /// The request.
  pub request: Request,
}

impl Claim {
  /// Compares by the order in which room is dealt out.
  ///
  /// Requests that the other hosts do not know of come after those of the same rank that they know of, which are
  /// about to take the room that they know to be theirs.
  fn order(&self, other: &Self) -> Ordering {
    let key = |claim: &Self| {
      (
        claim.request.rank,
        claim.is_untold,
        claim.request.give_up_at,
        claim.host,
      )
    };
    key(self).cmp(&key(other))
  }
}

/// The rooms of the targets of a service, dealt out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Deal {
  /// Index of the room that fell to the first waiting request of this host.
  pub first: Option<usize>,
  /// The share of each room, in their order.
  pub shares: Vec<Share>,
}

/// What was dealt out of a room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Share {
  /// Number of requests of this host that it fell to.
  pub own: u32,
  /// KV cache tokens that these are expected to need.
  pub own_tokens: u64,
  /// Number of further requests of the mean need that it could take.
  pub left: u64,
}

/// A room of which a part has been dealt out.
#[derive(Clone, Copy, Debug)]
struct Rest {
  own: u32,
  own_tokens: u64,
  max_prefill: u64,
  prefill: u64,
  slots: u32,
  target: u64,
  tokens: u64,
}

impl Rest {
  fn new(room: &Room) -> Self {
    Self {
      own: 0,
      own_tokens: 0,
      max_prefill: room.max_prefill,
      prefill: room.free_prefill,
      slots: room.free_slots,
      target: room.target,
      tokens: room.free_tokens,
    }
  }

  fn fits(&self, request: &Request) -> bool {
    let need = request.need;
    self.slots > 0 && need <= self.tokens && need.min(self.max_prefill) <= self.prefill
  }

  /// Returns whether a request with a need may still fit.
  fn may_fit(&self, need: u64) -> bool {
    self.slots > 0 && need <= self.tokens && need.min(self.max_prefill) <= self.prefill
  }

  fn take(&mut self, claim: &Claim) {
    let need = claim.request.need;
    self.slots -= 1;
    self.tokens -= need;
    self.prefill -= need.min(self.max_prefill);
    if claim.is_own {
      self.own += 1;
      self.own_tokens += need;
    }
  }

  fn share(&self, mean_need: u64) -> Share {
    let left = (self.tokens.min(self.prefill) / mean_need).min(self.slots.into());
    Share {
      own: self.own,
      own_tokens: self.own_tokens,
      left,
    }
  }
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
  let number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
  let number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
  number ^ number >> 31
}

/// Deals out the rooms to the claims; `first` is the number of the first waiting request of this host.
///
/// In the order of all requests, each takes what it needs at the target that its host prefers, by a hash, among those
/// where it fits. When a request and what it took are both taken out, all others get the same as before, so hosts that
/// know of a placement and hosts that do not agree on the rest. The preference changes with each heartbeat
/// interval that a request waits, so that room which its host cannot use goes to another one.
pub(super) fn deal(
  mut claims: Vec<Claim>,
  rooms: &[Room],
  first: u64,
  interval: Duration,
  now: Instant,
) -> Deal {
  claims.retain(|claim| now < claim.request.give_up_at);
  claims.sort_unstable_by(Claim::order);
  let needs = claims.iter().map(|claim| claim.request.need);
  let smallest = needs.clone().min().unwrap_or_default();
  let mean_need = (needs.sum::<u64>() / (claims.len() as u64).max(1)).max(1);
  let mut rests: Vec<Rest> = rooms.iter().map(Rest::new).collect();
  let interval_ms = u32::try_from(interval.as_millis()).unwrap_or(u32::MAX).max(1);
  let mut first_room = None;
  for claim in &claims {
    if !rests.iter().any(|rest| rest.may_fit(smallest)) {
      break;
    }
    let rotation = u64::from(claim.request.remaining_ms / interval_ms);
    let seed = mix(claim.host.wrapping_add(rotation));
    let fitting = rests.iter_mut().enumerate().filter(|(_, rest)| rest.fits(&claim.request));
    if let Some((index, rest)) = fitting.min_by_key(|(_, rest)| mix(seed ^ rest.target)) {
      rest.take(claim);
      if claim.is_own && claim.request.sequence == first {
        first_room = Some(index);
      }
    }
  }
  Deal {
    first: first_room,
    shares: rests.iter().map(|rest| rest.share(mean_need)).collect(),
  }
}
