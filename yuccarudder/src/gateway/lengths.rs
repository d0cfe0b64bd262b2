use crate::dialect::Ask;

/// Share of the most tokens allowed that a generation without an estimate is taken to need.
const SHARE_OF_MOST: f64 = 0.6;

/// Returns the tokens that a request is expected to generate.
pub fn expected_tokens(ask: &Ask) -> u64 {
  let most = ask.max_tokens;
  match ask.length_hint {
    Some(hint) => hint.min(most),
    None => (most as f64 * SHARE_OF_MOST) as u64,
  }
}

/// Returns the tokens of memory that a run is expected to need in the end, after it has
/// generated some.
pub fn expected_memory(ask: &Ask, generated: u64) -> u64 {
  let expected = expected_tokens(ask).max(generated);
  ask.prompt_tokens + expected.min(ask.max_tokens.max(generated))
}
