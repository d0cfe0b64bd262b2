use std::ops::AddAssign;

/// What requests take at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
  /// Tokens that are still to be read in or copied there.
  pub arriving: u64,
  /// Requests.
  pub runs: u32,
  /// Tokens of memory that they are expected to need.
  pub tokens: u64,
}

impl AddAssign for Load {
  fn add_assign(&mut self, other: Self) {
    self.arriving += other.arriving;
    self.runs += other.runs;
    self.tokens += other.tokens;
  }
}
