use std::{
  collections::HashMap,
  time::{Duration, Instant},
};

/// Number of lines that one logger may write at once.
const BURST_LINES: f64 = 400.0;
/// Sustained rate of one logger: about ten lines per request at the request rate that a host
/// with a quarter of a core serves.
const LINES_PER_SECOND: f64 = 200.0;
/// Number of loggers with a bucket of their own; all further ones share one.
const MAX_LOGGERS: usize = 64;
/// Key of the shared bucket.
const OTHER_LOGGERS: &str = "other";

/// A token bucket; each line takes one token.
#[derive(Clone, Copy, Debug)]
struct Bucket {
  tokens: f64,
  /// Number of lines dropped since the last admitted one.
  dropped: u64,
  refilled_at: Instant,
}

/// Limits the rate of lines of each logger, so that one logger cannot crowd out the others.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
  buckets: HashMap<String, Bucket>,
}

impl RateLimiter {
  /// Admits or drops a line of a logger.
  ///
  /// Returns `None` if the line is to be dropped, else the number of lines of the logger
  /// that were dropped since the last admitted one.
  pub fn admit(&mut self, logger: &str, now: Instant) -> Option<u64> {
    let has_own_bucket = self.buckets.contains_key(logger) || self.buckets.len() < MAX_LOGGERS;
    let logger = if has_own_bucket {
      logger
    } else {
      OTHER_LOGGERS
    };
    let bucket = self.buckets.entry(logger.to_owned()).or_insert(Bucket {
      tokens: BURST_LINES,
      dropped: 0,
      refilled_at: now,
    });
    let elapsed: Duration = now.saturating_duration_since(bucket.refilled_at);
    bucket.tokens = (bucket.tokens + LINES_PER_SECOND * elapsed.as_secs_f64()).min(BURST_LINES);
    bucket.refilled_at = now;
    if bucket.tokens < 1.0 {
      bucket.dropped += 1;
      return None;
    }
    bucket.tokens -= 1.0;
    Some(std::mem::take(&mut bucket.dropped))
  }
}
