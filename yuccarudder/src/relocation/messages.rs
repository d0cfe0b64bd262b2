use std::net::SocketAddr;

/// A request to copy the KV cache of a run to another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
  /// Address of the engine that receives the copy.
  pub destination: SocketAddr,
  /// ID of the request that the run serves.
  pub request_id: String,
  /// Address of the engine that runs the request now.
  pub source: SocketAddr,
  /// Whether the source stops the run before it copies it.
  pub stop_first: bool,
}

/// A completed copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copied {
  /// Number of events that the run had produced.
  pub events: u64,
  /// Identifies the copy on the source and on the destination.
  pub handle: String,
}

/// Why a run was not copied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
  /// Another copy of the run is in progress.
  Busy,
  /// The destination has no capacity or cannot be reached. If the source stopped the run, the
  /// handle identifies the KV cache that it still holds.
  NoRoom(Option<String>),
  /// The engine sent no response that can be parsed.
  Unclear(String),
  /// The engine does not run this request.
  Unknown,
}
