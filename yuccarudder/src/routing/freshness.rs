use std::time::Duration;

/// The time at which the active catalog was last known to be the newest one.
///
/// Times are from the boot clock, which keeps running during suspension. A confirmation counts
/// from when its request was sent, because the catalog may have changed after the platform read
/// it for the response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
  confirmed_at: Option<Duration>,
}

impl Freshness {
  /// Returns the time since the last confirmation; `None` if there was none.
  pub fn age(&self, now: Duration) -> Option<Duration> {
    self.confirmed_at.map(|at| now.saturating_sub(at))
  }

  /// Records a confirmation whose request was sent at `requested_at`; an older one than the
  /// last is ignored.
  pub fn confirm(&mut self, requested_at: Duration) {
    self.confirmed_at = self.confirmed_at.max(Some(requested_at));
  }

  /// Returns whether the last confirmation is younger than `limit`.
  pub fn is_younger_than(&self, limit: Duration, now: Duration) -> bool {
    self.age(now).is_some_and(|age| age < limit)
  }
}
