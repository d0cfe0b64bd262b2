/// What a client account uses through the sender.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Message {
  /// Hash of the name of the account.
  #[prost(fixed64, tag = "1")]
  pub account: u64,
  /// KV cache that its requests occupy, in units of 256 tokens; 0 if it has none left.
  #[prost(uint32, tag = "2")]
  pub tokens: u32,
}
