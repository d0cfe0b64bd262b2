//! Times that come from outside: they may be of any size, and still have to be added to instants.

use std::time::{Duration, Instant};

/// Longest time that counts, ten years; longer ones are cut to it, so that sums with it are in range.
pub const MAX: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// Returns the instant a time after another one; times above [`MAX`] count as that.
pub fn after(instant: Instant, time: Duration) -> Instant {
  instant + time.min(MAX)
}

/// Returns the whole milliseconds of a time.
pub fn milliseconds(time: Duration) -> u64 {
  u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Converts seconds to a duration of at most [`MAX`]; returns `None` when they are negative or no number.
pub fn from_seconds(seconds: f64) -> Option<Duration> {
  let is_time = seconds >= 0.0;
  is_time.then(|| Duration::try_from_secs_f64(seconds).map_or(MAX, |time| time.min(MAX)))
}

/// Converts milliseconds to a duration of at most [`MAX`]; returns `None` when they are negative or no
/// number.
pub fn from_milliseconds(milliseconds: f64) -> Option<Duration> {
  from_seconds(milliseconds / 1000.0)
}

#[cfg(test)]
mod tests;
