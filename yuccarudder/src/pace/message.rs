/// Streams of one target whose pause limit was about the same multiple of its mean gap.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Exposure {
  /// The bucket of that multiple.
  #[prost(uint32, tag = "1")]
  pub bucket: u32,
  /// Time that these streams lasted, in milliseconds.
  #[prost(uint32, tag = "2")]
  pub streamed_ms: u32,
  /// Number of their pauses that were longer than the limit.
  #[prost(uint32, tag = "3")]
  pub broken: u32,
}

/// What the sender saw of the streams of one target since its last heartbeat.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Message {
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, tag = "1")]
  pub target: u64,
  /// Number of times between two events.
  #[prost(uint32, tag = "2")]
  pub gaps: u32,
  /// Sum of these times, in milliseconds.
  #[prost(uint32, tag = "3")]
  pub streamed_ms: u32,
  /// The part of these streams that have a pause limit.
  #[prost(message, repeated, tag = "4")]
  pub exposure: Vec<Exposure>,
}
