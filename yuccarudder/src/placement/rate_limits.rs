use {
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::time::{Duration, Instant},
};

/// Hosts that share a limit in addition to those that its rate allows for; each of them may send
/// one request at any moment.
const BASE_SHARERS: usize = 4;
/// Hosts that share a limit, per request a second.
const SHARERS_PER_RATE: f64 = 1.5;
/// Time after which a request that found no host with a share may find one elsewhere.
const NO_SHARE_DELAY: Duration = Duration::from_secs(2);
/// Longest delay that a caller is given.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// How long the end of a limit is announced to the other hosts: several heartbeats of a large fleet.
const END_ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(5);

/// What a target said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
  /// When the response arrived that said it.
  pub at: Instant,
  /// Requests per second that the target takes from all hosts together; `None` if it names no
  /// limit any more.
  pub rate: Option<f64>,
}

/// The part of a target's limit that one host may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
  /// Number of hosts, including this one.
  pub hosts: usize,
  /// Position of this host in an order of all hosts that is the same on all of them and differs
  /// from target to target; `None` if this host does not know the others yet.
  pub position: Option<usize>,
}

impl LimitShare {
  /// Returns the requests per second that this host may send of a limit of `rate`.
  ///
  /// A limit is shared by a number of hosts that grows with it, not by all: a share must be large
  /// enough to be of use, and the single requests that all sharers may send at the same moment
  /// must stay within what targets tolerate.
  fn rate(&self, rate: f64) -> f64 {
    let sharers = (rate * SHARERS_PER_RATE) as usize + BASE_SHARERS;
    let sharers = sharers.min(self.hosts.max(2));
    if self.position.is_some_and(|position| position < sharers) {
      rate / sharers as f64
    } else {
      0.0
    }
  }
}

/// The limit of one target, and how much of its share this host may use now.
#[derive(Clone, Copy, Debug)]
struct Record {
  /// The newest statement that another host reported or that this host received.
  newest: LimitStatement,
  /// The newest statement in a response to this host.
  own: Option<LimitStatement>,
  /// Requests that callers were asked to come back with, and that have not been sent.
  promised: f64,
  /// Requests that may be sent now; at most one, so that any period allows only as many as its
  /// length does, and one more.
  tokens: f64,
  updated_at: Instant,
}

/// The limits that targets named for the requests of all hosts together.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
  records: SecondaryMap<Key, Record>,
}

impl RateLimits {
  /// Records what a target said, to this host (`own`) or to another one; returns whether the limit
  /// has changed.
  pub fn record(&mut self, key: Key, statement: LimitStatement, own: bool, now: Instant) -> bool {
    if statement.rate.is_none() && !self.records.contains_key(key) {
      return false;
    }
    let Some(entry) = self.records.entry(key) else {
      return false;
    };
    let mut is_new = false;
    let record = entry.or_insert_with(|| {
      is_new = true;
      Record {
        newest: statement,
        own: None,
        promised: 0.0,
        tokens: 0.0,
        updated_at: now,
      }
    });
    if own && record.own.is_none_or(|known| known.at <= statement.at) {
      record.own = Some(statement);
    }
    let changes = record.newest.rate != statement.rate;
    if record.newest.at <= statement.at {
      if record.newest.rate.is_none() {
        record.tokens = 0.0;
        record.updated_at = now;
      }
      record.newest = statement;
      return is_new || changes;
    }
    is_new
  }

  /// Returns the limit of a target in requests per second, if it names one.
  pub fn limit(&self, key: Key) -> Option<f64> {
    self.records.get(key)?.newest.rate
  }

  /// Returns the time from which on this host may send the next request to a target; `None` if it
  /// may send it now.
  pub fn next_at(&self, key: Key, share: &LimitShare, now: Instant) -> Option<Instant> {
    let record = self.records.get(key)?;
    let rate = share.rate(record.newest.rate?);
    record.delay(rate, now, 1.0).map(|delay| now + delay)
  }

  /// Returns the time at which a target has room for a caller that is asked to come back, and keeps
  /// that room for it.
  pub fn promise(&mut self, key: Key, share: &LimitShare, now: Instant) -> Option<Instant> {
    let record = self.records.get_mut(key)?;
    let rate = share.rate(record.newest.rate?);
    record.refill(rate, now);
    let delay = record.delay(rate, now, 1.0 + record.promised);
    if rate > 0.0 && delay.is_some_and(|delay| delay < MAX_DELAY) {
      record.promised += 1.0;
    }
    delay.map(|delay| now + delay)
  }

  /// Records that `count` requests are sent to a target.
  pub fn take(&mut self, key: Key, count: f64, share: &LimitShare, now: Instant) {
    let Some(record) = self.records.get_mut(key) else {
      return;
    };
    let Some(limit) = record.newest.rate else {
      return;
    };
    record.refill(share.rate(limit), now);
    record.tokens -= count;
    record.promised = (record.promised - count).max(0.0);
  }

  /// Returns what targets stated to this host itself, for the other hosts.
  pub fn own_statements(&self, now: Instant) -> impl Iterator<Item = (Key, LimitStatement)> {
    self.records.iter().filter_map(move |(key, record)| {
      let statement = record.own?;
      let is_recent = now.saturating_duration_since(statement.at) < END_ANNOUNCEMENT_PERIOD;
      (statement.rate.is_some() || is_recent).then_some((key, statement))
    })
  }
}

impl Record {
  fn tokens_at(&self, rate: f64, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
    (self.tokens + elapsed * rate).min(1.0)
  }

  fn refill(&mut self, rate: f64, now: Instant) {
    let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
    self.promised = (self.promised - elapsed * rate).max(0.0);
    self.tokens = self.tokens_at(rate, now);
    self.updated_at = now;
  }

  /// Returns the time until `needed` requests may be sent; `None` if they may be sent now.
  fn delay(&self, rate: f64, now: Instant, needed: f64) -> Option<Duration> {
    let missing = needed - self.tokens_at(rate, now);
    if rate <= 0.0 {
      return Some(NO_SHARE_DELAY);
    }
    // Tolerates the rounding of sums of small numbers.
    (missing > 1e-9).then(|| Duration::from_secs_f64((missing / rate).min(MAX_DELAY.as_secs_f64())))
  }
}
