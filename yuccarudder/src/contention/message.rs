/// A request that waits for a place.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Waiter {
  /// Its place in the order of all requests; the lowest is served first.
  #[prost(uint32, tag = "1")]
  pub rank: u32,
  /// Time until it stops waiting, in milliseconds.
  #[prost(uint32, tag = "2")]
  pub remaining_ms: u32,
  /// KV cache that it is expected to need, in units of 256 tokens.
  #[prost(uint32, tag = "3")]
  pub need: u32,
}

/// The requests of the sender that wait for targets of one service.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Message {
  /// Hash of the name of the service.
  #[prost(fixed64, tag = "1")]
  pub service: u64,
  /// The most urgent of them, in order.
  #[prost(message, repeated, tag = "2")]
  pub waiters: Vec<Waiter>,
  /// Number of further ones.
  #[prost(uint32, tag = "3")]
  pub more: u32,
}
