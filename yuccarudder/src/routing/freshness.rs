use std::time::Duration;

/// When the catalog in force was last known to be the newest one.
///
/// Times are those of the clock that counts suspension, and mark when the question
/// was sent whose answer confirmed the catalog.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
  confirmed: Option<Duration>,
}

impl Freshness {
  /// Returns the age of the last confirmation.
  pub fn age(&self, now: Duration) -> Option<Duration> {
    self.confirmed.map(|at| now.saturating_sub(at))
  }

  /// Records a confirmation that was asked for at `asked`.
  pub fn confirm(&mut self, asked: Duration) {
    self.confirmed = self.confirmed.max(Some(asked));
  }

  /// Returns whether the catalog is younger than `bound`.
  pub fn is_within(&self, bound: Duration, now: Duration) -> bool {
    self.age(now).is_some_and(|age| age < bound)
  }

  /// Replaces the confirmation when another catalog comes into force.
  pub fn restart(&mut self, asked: Option<Duration>) {
    self.confirmed = asked;
  }
}
