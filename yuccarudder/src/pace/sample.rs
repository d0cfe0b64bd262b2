use std::time::Duration;

/// A part of a stream, as a host relayed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
  /// Number of pauses that were longer than the limit.
  pub broken: u32,
  /// Number of times between two events.
  pub gaps: u32,
  /// Limit of the pauses of the stream; zero without a limit.
  pub limit: Duration,
  /// Sum of the times between two events.
  pub streamed: Duration,
}
