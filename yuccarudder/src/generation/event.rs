use {
  super::Id,
  serde::{Deserialize, Serialize},
};

/// An event that an engine sends for a generation.
///
/// There is one event per token, with consecutive indices from 0. The last event has a
/// `finish_reason`, no text, and the number of tokens as its index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
  /// Reason for the end of the generation; only set on the last event.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub finish_reason: Option<String>,
  /// Id of the generation that the event belongs to.
  pub generation: Id,
  /// Index of the token.
  pub index: u64,
  /// Number of prompt tokens; only set on the first event of each response.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub prompt_tokens: Option<u64>,
  /// Text of the token.
  #[serde(default)]
  pub text: String,
}
