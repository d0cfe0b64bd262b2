use {crate::span, std::time::Duration};

/// Properties that all model engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
  /// Number of tokens in one stream event.
  pub tokens_per_event: u64,
  /// Bandwidth of the link between engines, in bytes per second.
  pub link_bytes_per_second: f64,
  /// Capacity of the KV cache of one engine, in tokens.
  pub kv_cache_tokens: u64,
  /// Whether a running request can be relocated to another engine.
  pub relocatable: bool,
  /// Maximum number of concurrent requests per engine.
  pub slots: u32,
  /// Size of one token in the KV cache, in bytes.
  pub kv_bytes_per_token: f64,
}

impl Engine {
  /// Returns how long the link takes to transfer the KV cache of `tokens` tokens; zero when its
  /// bandwidth or the size of a token is unknown.
  pub fn transfer_time(&self, tokens: u64) -> Duration {
    if self.link_bytes_per_second <= 0.0 {
      return Duration::ZERO;
    }
    let seconds = tokens as f64 * self.kv_bytes_per_token / self.link_bytes_per_second;
    span::from_seconds(seconds).unwrap_or_default()
  }
}

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
  /// Requests per second that a target can handle during its cold start; `None` when targets
  /// have no cold start.
  pub cold_start_rate: Option<f64>,
  /// Properties of its engines, if its targets are model engines.
  pub engine: Option<Engine>,
  /// Path at which its targets answer health checks.
  pub health_path: String,
  /// The name of the service.
  pub name: String,
}
