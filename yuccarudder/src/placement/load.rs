use std::ops::{AddAssign, SubAssign};

/// What requests take at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
  /// Tokens that are still to be read in there.
  pub arriving: u64,
  /// Tokens that are being copied there over its link.
  pub copying: u64,
  /// Tokens of memory that they take now.
  pub held: u64,
  /// Requests.
  pub runs: u32,
  /// Tokens of memory that they are expected to need in the end.
  pub tokens: u64,
}

impl AddAssign for Load {
  fn add_assign(&mut self, other: Self) {
    self.arriving += other.arriving;
    self.copying += other.copying;
    self.held += other.held;
    self.runs += other.runs;
    self.tokens += other.tokens;
  }
}

impl SubAssign for Load {
  fn sub_assign(&mut self, other: Self) {
    self.arriving -= other.arriving;
    self.copying -= other.copying;
    self.held -= other.held;
    self.runs -= other.runs;
    self.tokens -= other.tokens;
  }
}
