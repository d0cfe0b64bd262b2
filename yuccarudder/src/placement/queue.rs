use std::{
  collections::{BTreeSet, HashMap},
  time::Instant,
};

/// The sort key of a waiting request; the fields are compared in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
  /// Whether the response can no longer meet its latency objective. Such a request waits
  /// behind all that still can: otherwise it would take the capacity of one that would then
  /// be late, too.
  pub late: bool,
  /// Priority of the account and route; 0 is served first.
  pub priority: u32,
  /// When the request stops waiting for capacity.
  pub give_up_at: Instant,
}

/// The entry of a request in the queue of a service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Entry {
  sequence: u64,
  rank: Rank,
}

/// The requests that wait for capacity, by service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
  last_sequence: u64,
  /// Ranks and sequence numbers of the requests of each service.
  services: HashMap<String, BTreeSet<(Rank, u64)>>,
}

impl Queue {
  /// Adds a request; requests of equal rank are served in the order of their arrival.
  pub fn enqueue(&mut self, service: &str, rank: Rank) -> Entry {
    self.last_sequence += 1;
    let sequence = self.last_sequence;
    self.services.entry(service.into()).or_default().insert((rank, sequence));
    Entry { sequence, rank }
  }

  /// Returns whether a request is the first in the queue of its service.
  pub fn is_first(&self, service: &str, entry: Entry) -> bool {
    let first = self.services.get(service).and_then(|waiting| waiting.first());
    first.is_none_or(|first| *first == (entry.rank, entry.sequence))
  }

  /// Removes a request that got capacity or stopped waiting.
  pub fn remove(&mut self, service: &str, entry: Entry) {
    if let Some(waiting) = self.services.get_mut(service) {
      waiting.remove(&(entry.rank, entry.sequence));
      if waiting.is_empty() {
        self.services.remove(service);
      }
    }
  }
}
