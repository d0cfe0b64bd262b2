use std::ops::{AddAssign, SubAssign};

/// Largest number of requests that counts of one host; sums of a thousand of them are in range.
const MAX_REQUESTS: u32 = 1 << 20;

/// The load that requests place on one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
  /// Prompt tokens that await prefill.
  pub prefill_tokens: u64,
  /// Tokens whose KV cache is being copied to the target over its link.
  pub transfer_tokens: u64,
  /// KV cache tokens in use now.
  pub used_tokens: u64,
  /// Number of requests.
  pub requests: u32,
  /// KV cache tokens that the requests are expected to need when the memory use of the target
  /// peaks; this is less than the sum of their full lengths, as they do not peak at the same time.
  pub expected_tokens: u64,
}

/// Largest number of tokens that counts of one request or one host; more are a mistake. Sums of a million
/// of them are in range.
const MAX_TOKENS: u64 = 1 << 40;

impl Load {
  /// Returns the load as far as it counts, so that it can be added to others.
  #[must_use]
  pub(super) fn bounded(self) -> Self {
    Self {
      prefill_tokens: self.prefill_tokens.min(MAX_TOKENS),
      transfer_tokens: self.transfer_tokens.min(MAX_TOKENS),
      used_tokens: self.used_tokens.min(MAX_TOKENS),
      requests: self.requests.min(MAX_REQUESTS),
      expected_tokens: self.expected_tokens.min(MAX_TOKENS),
    }
  }
}

impl AddAssign for Load {
  fn add_assign(&mut self, other: Self) {
    self.prefill_tokens += other.prefill_tokens;
    self.transfer_tokens += other.transfer_tokens;
    self.used_tokens += other.used_tokens;
    self.requests += other.requests;
    self.expected_tokens += other.expected_tokens;
  }
}

impl SubAssign for Load {
  fn sub_assign(&mut self, other: Self) {
    self.prefill_tokens -= other.prefill_tokens;
    self.transfer_tokens -= other.transfer_tokens;
    self.used_tokens -= other.used_tokens;
    self.requests -= other.requests;
    self.expected_tokens -= other.expected_tokens;
  }
}
