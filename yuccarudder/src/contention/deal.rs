//! Deals out the free places at targets to the waiting requests of all hosts.

use {
  super::{Request, Room},
  std::{
    cmp::Ordering,
    collections::BinaryHeap,
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
  /// Compares by the order in which places are dealt out.
  ///
  /// Requests that the other hosts do not know of come after those of the same rank that they know of, which are
  /// about to take the places that they know to be theirs.
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

/// The places at the targets of a service, dealt out.
#[derive(Clone, Debug, Default)]
pub(super) struct Deal {
  /// Number of places of each room that fell to requests of this host.
  pub own: Vec<u32>,
  /// Number of places of each room that fell to nobody.
  pub left: Vec<u32>,
}

/// Returns how many places each of the rooms has for requests like the waiting ones.
fn places(claims: &[Claim], rooms: &[Room]) -> Vec<u32> {
  let needs = claims.iter().map(|claim| claim.request.need);
  let typical = needs.clone().sum::<u64>() / (claims.len() as u64).max(1);
  let smallest = needs.min().unwrap_or_default();
  rooms.iter().map(|room| room.places(typical, smallest)).collect()
}

/// Returns how many of the places of each room are dealt out to a number of requests: the rooms with most places
/// go first, so that the requests spread. A place that is taken with its request leaves those of the others as
/// they are.
fn quotas(places: &[u32], rooms: &[Room], requests: usize) -> Vec<u32> {
  let mut quotas = vec![0; places.len()];
  let rooms = rooms.iter().enumerate();
  let mut heap: BinaryHeap<(u32, u64, usize)> =
    rooms.map(|(index, room)| (places[index], room.target, index)).collect();
  for _ in 0..requests {
    let Some((count, target, index)) = heap.pop().filter(|(count, ..)| *count > 0) else {
      break;
    };
    quotas[index] += 1;
    heap.push((count - 1, target, index));
  }
  quotas
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
  let number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
  let number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
  number ^ number >> 31
}

/// Deals out the places of the rooms to the claims.
///
/// In the order of all requests, each takes a place at the target that its host prefers among those with places
/// left. Hosts prefer targets by a hash, so that the choice of a request does not depend on whether hosts know
/// that others have taken their places. The hash changes with each heartbeat interval that a request waits, so
/// that a place which its host cannot use goes to another one.
pub(super) fn deal(
  mut claims: Vec<Claim>,
  rooms: &[Room],
  interval: Duration,
  now: Instant,
) -> Deal {
  claims.retain(|claim| now < claim.request.give_up_at);
  claims.sort_unstable_by(Claim::order);
  let places = places(&claims, rooms);
  let quotas = quotas(&places, rooms, claims.len());
  let mut free = quotas.clone();
  let mut free_count: u32 = free.iter().sum();
  let mut own = vec![0; rooms.len()];
  let interval_ms = u32::try_from(interval.as_millis()).unwrap_or(u32::MAX).max(1);
  for claim in &claims {
    if free_count == 0 {
      break;
    }
    let rotation = u64::from(claim.request.remaining_ms / interval_ms);
    let seed = mix(claim.host.wrapping_add(rotation));
    let fitting = rooms
      .iter()
      .enumerate()
      .filter(|(index, room)| free[*index] > 0 && claim.request.need <= room.free_tokens);
    let preferred = fitting.min_by_key(|(_, room)| mix(seed ^ room.target));
    if let Some((index, _)) = preferred {
      free[index] -= 1;
      free_count -= 1;
      own[index] += u32::from(claim.is_own);
    }
  }
  Deal {
    own,
    left: places.iter().zip(quotas).map(|(places, quota)| places - quota).collect(),
  }
}
