use {
  super::Id,
  serde::{Deserialize, Serialize},
};

/// One event of an engine's stream.
///
/// Token events count up from index zero. The last event has a
/// `finish_reason`, no text, and the number of tokens as its index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
  /// Why the generation ended, on its last event.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub finish_reason: Option<String>,
  /// The generation that the event belongs to.
  pub generation: Id,
  /// Index of the token.
  pub index: u64,
  /// Number of prompt tokens, on the first event of a link.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub prompt_tokens: Option<u64>,
  /// Text of the token.
  #[serde(default)]
  pub text: String,
}
