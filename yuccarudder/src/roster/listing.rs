use std::{net::SocketAddr, time::Duration};

/// What a target says of its readiness.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
  /// It takes work.
  Available,
  /// It is leaving.
  Draining,
}

/// What a target publishes of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
  /// Where it takes requests.
  pub address: SocketAddr,
  /// When its process started, in milliseconds since the Unix epoch.
  pub started_ms: Option<u64>,
  /// Its data centre.
  pub data_centre: String,
  /// The service it belongs to.
  pub service: String,
  /// Requests that it runs at once.
  pub slots: u32,
  /// Whether it takes work.
  pub state: State,
  /// How much longer it stays in its cold start.
  pub warmup_remaining: Duration,
}
