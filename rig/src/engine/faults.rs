use serde::{Deserialize, Serialize};

/// Faults that a stand-in engine injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
  /// Number of tokens after which each stream is cut, or zero for never.
  pub cut_after: u64,
  /// Whether every third event carries the ID of another generation, as if the engine sent it on
  /// the wrong stream.
  pub cross: bool,
  /// Whether it responds with 404 when a client resumes a generation.
  pub forget: bool,
  /// Whether it refuses to start generations, with status 503.
  pub refuse: bool,
  /// Whether the batch stops decoding.
  pub stall: bool,
  /// Whether it starts generations but never responds to requests for their events.
  pub swallow: bool,
}
