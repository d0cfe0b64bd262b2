use std::time::Duration;

/// What the pace of a target means for a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
  /// KV cache capacity of one target, in tokens.
  pub capacity_tokens: u64,
  /// Number of events that its stream is expected to have; 0 without a stream.
  pub events: f64,
  /// Limit of the pauses of its stream; zero without a limit.
  pub pause_limit: Duration,
  /// Tokens of its prompt.
  pub prompt_tokens: u64,
}
