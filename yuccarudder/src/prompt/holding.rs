use {
  super::{Part, Prompt},
  hashlink::LruCache,
  std::time::Instant,
};

/// Maximum number of parts that are remembered per target.
const MAX_PARTS: usize = 512;
/// Largest number of tokens that counts as taken in at once; more are a mistake.
const MAX_TAKEN_IN: u64 = 1 << 40;

/// The prompt parts that one target holds, as far as known.
#[derive(Clone, Debug)]
pub struct Holding {
  /// The parts by the low halves of their IDs.
  parts: LruCache<u32, Part>,
  /// Tokens that the target has taken in since the record began; it wraps around.
  taken_in: u64,
}

impl Default for Holding {
  fn default() -> Self {
    Self {
      parts: LruCache::new(MAX_PARTS),
      taken_in: 0,
    }
  }
}

impl Holding {
  /// Counts tokens that take up memory of the target.
  pub fn take_in(&mut self, tokens: u64) {
    self.taken_in = self.taken_in.wrapping_add(tokens.min(MAX_TAKEN_IN));
  }

  /// Records that the target uses a part.
  pub fn touch(&mut self, part: u32, now: Instant) {
    let last_use = Part {
      taken_in: self.taken_in,
      used_at: now,
    };
    self.parts.insert(part, last_use);
  }

  /// Returns the probability that the target holds a part.
  pub fn probability(&self, part: u32, room: u64, now: Instant) -> f64 {
    let part = self.parts.peek(&part);
    part.map_or(0.0, |part| part.probability(self.taken_in, room, now))
  }

  /// Returns the expected number of leading tokens of a prompt that the target holds.
  pub fn held_tokens(&self, prompt: &Prompt<'_>, room: u64, now: Instant) -> u64 {
    let mut probability = 1.0_f64;
    let mut tokens = 0.0;
    for (part, part_tokens) in prompt.leading() {
      probability = probability.min(self.probability(part, room, now));
      if probability <= 0.0 {
        break;
      }
      tokens += probability * part_tokens as f64;
    }
    tokens as u64
  }

  /// Returns the number of parts that are remembered.
  pub fn len(&self) -> usize {
    self.parts.len()
  }
}
