use std::iter;

/// Maximum number of parts of a prompt that count; the others are processed anew.
const MAX_PARTS: usize = 64;

/// The prompt of a request as a sequence of parts.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
  /// IDs of the parts; the last one belongs to this request or its session.
  pub parts: &'a [u64],
  /// Numbers of tokens of the parts.
  pub part_tokens: &'a [u64],
  /// Number of tokens of the whole prompt.
  pub tokens: u64,
}

impl Prompt<'_> {
  /// Returns whether all parts count and their sizes are possible.
  pub fn is_consistent(&self) -> bool {
    let total = self.part_tokens.iter().try_fold(0_u64, |sum, tokens| sum.checked_add(*tokens));
    self.parts.len() <= MAX_PARTS
      && self.parts.len() == self.part_tokens.len()
      && total.is_some_and(|total| total <= self.tokens)
  }

  /// Returns the low halves of the IDs and the sizes of the leading parts, up to the first whose size is unknown.
  /// Together they have at most the tokens of the whole prompt.
  pub fn leading(&self) -> impl Iterator<Item = (u32, u64)> {
    let mut parts = self.parts.iter().zip(self.part_tokens).take(MAX_PARTS);
    let mut rest = self.tokens;
    iter::from_fn(move || {
      let (id, tokens) = parts.next()?;
      let tokens = rest.min(*tokens);
      rest -= tokens;
      (tokens > 0).then_some((*id as u32, tokens))
    })
  }

  /// Returns the number of leading parts that other requests may have as well.
  pub fn shared_count(&self) -> usize {
    self.parts.len().saturating_sub(1)
  }
}
