use std::time::Duration;

/// What may be repeated of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
  /// A request runs at most once.
  AtMostOnce,
  /// A request may run again after any failure.
  Idempotent,
  /// The answer is a series of numbered events.
  Stream {
    /// Whether another run may go on after the last event that was seen.
    resumable: bool,
  },
}

impl Kind {
  /// Returns the name used in metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::AtMostOnce => "once",
      Self::Idempotent => "repeatable",
      Self::Stream { .. } => "stream",
    }
  }
}

/// A part of a route's requests that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
  /// The name of the service.
  pub service: String,
  /// Its weight among the destinations of the route.
  pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
  /// Most targets that may run one request.
  pub attempt_limit: u32,
  /// What may be repeated.
  pub kind: Kind,
  /// Time to the answer, or to the first event, for which the answer is on time.
  pub latency_objective: Duration,
  /// The name of the route.
  pub name: String,
  /// Longest pause between events for which a stream is on time.
  pub pause_objective: Duration,
  /// The path prefix, with a slash at both ends.
  pub prefix: String,
  /// Its rank, 0 first.
  pub priority: u32,
  /// Whether callers need no credential.
  pub public: bool,
  /// The services that take its requests.
  pub destinations: Vec<Destination>,
  /// Longest time that a caller is kept waiting.
  pub timeout: Duration,
}

impl Route {
  /// Picks a service by weight; `pick` is any number, the same for the same request.
  pub fn choose_service(&self, pick: u64) -> Option<&str> {
    let total: u64 =
      self.destinations.iter().map(|destination| u64::from(destination.weight)).sum();
    let mut left = pick.checked_rem(total)?;
    for destination in &self.destinations {
      let weight = u64::from(destination.weight);
      if left < weight {
        return Some(&destination.service);
      }
      left -= weight;
    }
    None
  }
}
