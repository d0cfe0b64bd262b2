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
}
