use {
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::time::{Duration, Instant},
};

/// Longest pause that a target may ask for; a longer one counts as this.
const MAX_PAUSE: Duration = Duration::from_secs(300);

/// The targets that turned a request of this host away and asked it to pause.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
  ends: SecondaryMap<Key, Instant>,
}

impl Pauses {
  /// Records that a target wants no request from this host for a time from now on. A pause that
  /// ends earlier than the one in force does not shorten it.
  pub fn record(&mut self, key: Key, pause: Duration, now: Instant) {
    let end = now + pause.min(MAX_PAUSE);
    if let Some(entry) = self.ends.entry(key) {
      let known = entry.or_insert(end);
      *known = end.max(*known);
    }
  }

  /// Returns when the pause of a target ends, if it is paused.
  pub fn end(&self, key: Key, now: Instant) -> Option<Instant> {
    self.ends.get(key).copied().filter(|end| now < *end)
  }
}
