use std::net::SocketAddr;

/// Copies the memory of a run to another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
  /// The engine that gets the copy.
  pub destination: SocketAddr,
  /// The request that runs.
  pub request_id: String,
  /// The engine that runs it.
  pub source: SocketAddr,
  /// Whether the run stops before it is copied.
  pub stop: bool,
}

/// A copy that is complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copied {
  /// Events that the run had made.
  pub events: u64,
  /// Names the copy at the source and at the destination.
  pub handle: String,
}

/// Why a run was not copied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
  /// Another copy of the run is being made.
  Busy,
  /// The destination has no room or cannot be reached; the handle names the memory of
  /// a run that stopped.
  NoRoom(Option<String>),
  /// The engine gave no answer that can be read.
  Unclear(String),
  /// The engine does not run the request.
  Unknown,
}
