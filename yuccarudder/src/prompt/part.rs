use std::time::{Duration, Instant};

/// Time without use after which a part counts as gone.
const MAX_AGE: Duration = Duration::from_secs(60);

/// When a target last used a prompt part.
#[derive(Clone, Copy, Debug)]
pub struct Part {
  /// Tokens that the target had taken in until then.
  pub taken_in: u64,
  pub used_at: Instant,
}

impl Part {
  /// Returns the probability that the target still holds the part, when it has taken in `taken_in`
  /// tokens and has room for `room` tokens beside those in use.
  ///
  /// An engine evicts the least recently used parts first. The probability falls linearly instead of in one step, as
  /// the tokens are known only in part: other hosts report sums, in which new prompts may be hidden by
  /// requests that end.
  pub fn probability(&self, taken_in: u64, room: u64, now: Instant) -> f64 {
    let since_use = taken_in.wrapping_sub(self.taken_in);
    if since_use >= room || now.saturating_duration_since(self.used_at) >= MAX_AGE {
      return 0.0;
    }
    1.0 - since_use as f64 / room as f64
  }
}
