use serde::{Deserialize, Serialize};

/// State that an engine reports of itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
  /// Whether the engine is in its cold start.
  #[serde(default)]
  pub cold: bool,
  /// Number that identifies the process among all that had the address.
  pub incarnation: u64,
  /// Number of generations being decoded.
  #[serde(default)]
  pub running: u64,
  /// Number of queued generations.
  #[serde(default)]
  pub waiting: u64,
}
