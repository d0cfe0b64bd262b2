use serde::{Deserialize, Serialize};

/// What an engine reports of itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
  /// Whether it is in its cold start.
  #[serde(default)]
  pub cold: bool,
  /// Distinguishes the processes that had the address.
  pub incarnation: u64,
  /// Generations that decode.
  #[serde(default)]
  pub running: u64,
  /// Generations that wait.
  #[serde(default)]
  pub waiting: u64,
}
