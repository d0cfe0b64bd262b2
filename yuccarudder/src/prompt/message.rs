/// Prompt parts that a target has begun to hold.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Message {
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, tag = "1")]
  pub target: u64,
  /// Low halves of the IDs of the parts.
  #[prost(fixed32, repeated, tag = "2")]
  pub parts: Vec<u32>,
}
