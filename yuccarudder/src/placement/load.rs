use std::ops::{AddAssign, SubAssign};

/// What requests take at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
  /// Tokens that are still to be read in there.
  pub prefill_tokens: u64,
  /// Tokens that are being copied there over its link.
  pub transfer_tokens: u64,
  /// Tokens of memory that they take now.
  pub used_tokens: u64,
  /// Requests.
  pub requests: u32,
  /// Tokens of memory that they are expected to need in the end.
  pub expected_tokens: u64,
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
