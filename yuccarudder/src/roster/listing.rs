use std::{net::SocketAddr, time::Duration};

/// The readiness that a target reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
  /// It accepts new requests.
  Available,
  /// It accepts no new requests and is about to leave.
  Draining,
}

/// The entry that a target publishes about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
  /// Address at which it accepts requests.
  pub address: SocketAddr,
  /// Start time of its process, in milliseconds since the Unix epoch.
  pub started_ms: Option<u64>,
  /// Its data centre.
  pub data_centre: String,
  /// The service it belongs to.
  pub service: String,
  /// Number of requests that it runs concurrently.
  pub slots: u32,
  /// Whether it accepts new requests.
  pub state: State,
  /// Version of its software; streams can be continued only by targets of the version that began them.
  pub version: String,
  /// Time until its cold start ends; zero when it is warm.
  pub warmup_remaining: Duration,
}
