use std::time::Instant;

/// The last known sound answer to a request with a prompt part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sound {
  /// When the target began to answer.
  pub began_at: Instant,
  /// The prompt part.
  pub part: u64,
}
