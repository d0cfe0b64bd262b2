use std::{
  collections::{BTreeSet, HashMap},
  time::Instant,
};

/// The order in which requests get room; the fields are compared one after the other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
  /// Whether the answer can no longer be on time. Such a request waits behind all that
  /// can be: it would take the room of one that is then late, too.
  pub late: bool,
  /// The rank of its account and route, 0 first.
  pub urgency: u32,
  /// When it gives up.
  pub give_up_at: Instant,
}

/// A place in the queue of a service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Entry {
  number: u64,
  rank: Rank,
}

/// Requests that wait for room, by service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
  next: u64,
  services: HashMap<String, BTreeSet<(Rank, u64)>>,
}

impl Queue {
  /// Enters a request.
  pub fn enqueue(&mut self, service: &str, rank: Rank) -> Entry {
    self.next += 1;
    let number = self.next;
    self.services.entry(service.into()).or_default().insert((rank, number));
    Entry { number, rank }
  }

  /// Returns whether a request is the first of its service.
  pub fn is_first(&self, service: &str, ticket: Entry) -> bool {
    let first = self.services.get(service).and_then(|waiting| waiting.first());
    first.is_none_or(|first| *first == (ticket.rank, ticket.number))
  }

  /// Removes a request that got room or gave up.
  pub fn remove(&mut self, service: &str, ticket: Entry) {
    if let Some(waiting) = self.services.get_mut(service) {
      waiting.remove(&(ticket.rank, ticket.number));
      if waiting.is_empty() {
        self.services.remove(service);
      }
    }
  }
}
