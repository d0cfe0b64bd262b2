use std::time::Duration;

/// The response type of a route and whether its requests may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
  /// A request must not run more than once.
  AtMostOnce,
  /// A request may be run again after any failure.
  Idempotent,
  /// The response is a stream of numbered events.
  Stream {
    /// Whether another target can continue the stream after the last event that was received.
    resumable: bool,
  },
}

impl Kind {
  /// Returns the label value used in metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::AtMostOnce => "once",
      Self::Idempotent => "repeatable",
      Self::Stream { .. } => "stream",
    }
  }
}

/// A service that receives a weighted part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
  /// The name of the service.
  pub service: String,
  /// The weight relative to the other destinations of the route.
  pub weight: u32,
}

/// A path prefix of a host name and how its requests are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
  /// Maximum number of targets that may run one request.
  pub max_runs: u32,
  /// The response type and whether requests may be retried.
  pub kind: Kind,
  /// Objective for the time to the response, or to the first event of a stream.
  pub latency_objective: Duration,
  /// The name of the route.
  pub name: String,
  /// Objective for the longest pause between two events of a stream.
  pub pause_objective: Duration,
  /// The path prefix, which begins and ends with a slash.
  pub prefix: String,
  /// Scheduling priority, 0 highest.
  pub priority: u32,
  /// Whether requests need no credential.
  pub public: bool,
  /// The services among which requests are split.
  pub destinations: Vec<Destination>,
  /// Maximum duration of a request.
  pub timeout: Duration,
}

impl Route {
  /// Chooses a service by weight; equal hashes lead to the same service.
  pub fn choose_service(&self, request_hash: u64) -> Option<&str> {
    let total: u64 =
      self.destinations.iter().map(|destination| u64::from(destination.weight)).sum();
    let mut remaining = request_hash.checked_rem(total)?;
    for destination in &self.destinations {
      let weight = u64::from(destination.weight);
      if remaining < weight {
        return Some(&destination.service);
      }
      remaining -= weight;
    }
    None
  }
}
