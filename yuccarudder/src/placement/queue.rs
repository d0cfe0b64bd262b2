use std::{
  collections::{BTreeMap, HashMap},
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
  /// Whether the client account uses more than its share.
  pub over_share: bool,
  /// When the request stops waiting for capacity.
  pub give_up_at: Instant,
}

/// The entry of a request in the queue of a service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Entry {
  need: u64,
  sequence: u64,
  rank: Rank,
}

impl Entry {
  /// Returns the KV cache tokens that the request is expected to need.
  pub fn need(&self) -> u64 {
    self.need
  }

  /// Returns its sort key.
  pub fn rank(&self) -> Rank {
    self.rank
  }

  /// Returns its number in the order of arrival.
  pub fn sequence(&self) -> u64 {
    self.sequence
  }
}

/// The requests that wait for capacity, by service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
  last_sequence: u64,
  /// The needs of the requests of each service in KV cache tokens, by rank and sequence number.
  services: HashMap<String, BTreeMap<(Rank, u64), u64>>,
}

impl Queue {
  /// Adds a request that is expected to need a number of KV cache tokens; requests of equal rank are served in the
  /// order of their arrival.
  pub fn enqueue(&mut self, service: &str, rank: Rank, need: u64) -> Entry {
    self.last_sequence += 1;
    let sequence = self.last_sequence;
    self.services.entry(service.into()).or_default().insert((rank, sequence), need);
    Entry {
      need,
      sequence,
      rank,
    }
  }

  /// Returns whether a request is the first in the queue of its service.
  pub fn is_first(&self, service: &str, entry: Entry) -> bool {
    let first = self.services.get(service).and_then(|waiting| waiting.first_key_value());
    first.is_none_or(|(first, _)| *first == (entry.rank, entry.sequence))
  }

  /// Returns the first `count` requests of a service in their order, and the number of all.
  pub fn first(&self, service: &str, count: usize) -> (Vec<Entry>, usize) {
    let Some(waiting) = self.services.get(service) else {
      return (Vec::new(), 0);
    };
    let entries = waiting.iter().take(count).map(|((rank, sequence), need)| Entry {
      need: *need,
      sequence: *sequence,
      rank: *rank,
    });
    (entries.collect(), waiting.len())
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
