use serde::{Deserialize, Serialize};

/// How an engine misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
  /// Number of tokens after which every link is cut, zero for never.
  pub cut_after: u64,
  /// Whether events of one generation are sent on the links of another.
  pub cross: bool,
  /// Whether it has none of the generations that are read again.
  pub forget: bool,
  /// Whether it answers that it takes no work.
  pub refuse: bool,
  /// Whether the batch stands still.
  pub stall: bool,
  /// Whether it takes requests and never answers.
  pub swallow: bool,
}
