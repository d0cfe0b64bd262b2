use std::time::Duration;

/// What the model engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
  /// Tokens in one event of a stream.
  pub tokens_per_event: u64,
  /// Bytes a second of the link between engines.
  pub link_bytes_per_second: f64,
  /// Tokens that one engine holds.
  pub kv_cache_tokens: u64,
  /// Whether a run can go on at another engine.
  pub relocatable: bool,
  /// Requests that run at once.
  pub slots: u32,
  /// Bytes of memory a token takes.
  pub kv_bytes_per_token: f64,
}

impl Engine {
  /// Returns how long the link takes for `tokens`.
  pub fn transfer_time(&self, tokens: u64) -> Duration {
    if self.link_bytes_per_second <= 0.0 {
      return Duration::ZERO;
    }
    Duration::from_secs_f64(tokens as f64 * self.kv_bytes_per_token / self.link_bytes_per_second)
  }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
  /// Requests a second that a target bears in its cold start; none when it has none.
  pub cold_start_rate: Option<f64>,
  /// What its engines have in common, if it is served by model engines.
  pub engine: Option<Engine>,
  /// The name of the service.
  pub name: String,
}
