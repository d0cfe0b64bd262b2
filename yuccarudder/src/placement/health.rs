use {
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::time::{Duration, Instant},
};

/// Smoothing factor of the exponentially weighted failure rate. A target whose rate falls
/// below it after an ejection has recovered.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Failure rate above which a target is ejected; that of a healthy target is far lower.
const MAX_FAILURE_RATE: f64 = 0.35;
/// Duration of the first ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// The result of a request at a target, as far as it indicates the health of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The target responded, possibly by declining to run the request.
  Answered,
  /// The process of the target ended, as this host or another one found.
  Crashed,
  /// The target responded with an error, or no valid response arrived.
  Failed,
  /// The target could not be reached.
  Unreachable,
}

impl Outcome {
  /// Returns the name used in metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::Answered => "answered",
      Self::Crashed => "crashed",
      Self::Failed => "failed",
      Self::Unreachable => "unreachable",
    }
  }
}

/// The recent results and ejections of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
  ejected_until: Option<Instant>,
  /// Whether it is ejected because its process ended.
  has_crashed: bool,
  /// Ejections since the target last recovered.
  ejections: u32,
  /// Exponentially weighted fraction of requests that failed.
  failure_rate: f64,
}

/// Detects failing targets by the results of this host's requests and ejects them for a time.
#[derive(Clone, Debug, Default)]
pub struct Health {
  records: SecondaryMap<Key, Record>,
}

impl Health {
  /// Returns whether a target is ejected now.
  pub fn is_ejected(&self, key: Key, now: Instant) -> bool {
    let record = self.records.get(key);
    record.and_then(|record| record.ejected_until).is_some_and(|until| now < until)
  }

  /// Ends the ejection of a target that could not be reached, since this host had lost its links.
  pub fn forget_unreachable(&mut self, key: Key) {
    if self.records.get(key).is_some_and(|record| !record.has_crashed) {
      self.records.remove(key);
    }
  }

  /// Records a result; returns the duration of the ejection that it causes.
  ///
  /// An unreachable target is ejected at once, a failing one when its failure rate is too
  /// high. Each ejection is twice as long as the one before, up to `MAX_EJECTION`, which is also
  /// that of a crashed target: its entry lapses by then.
  pub fn record(&mut self, key: Key, outcome: Outcome, now: Instant) -> Option<Duration> {
    let record = self.records.entry(key)?.or_default();
    let is_failure = outcome != Outcome::Answered;
    record.failure_rate +=
      SMOOTHING_FACTOR * (f64::from(u8::from(is_failure)) - record.failure_rate);
    if !is_failure {
      if record.ejected_until.is_some_and(|until| until <= now)
        && record.failure_rate < SMOOTHING_FACTOR
      {
        *record = Record::default();
      }
      return None;
    }
    if outcome == Outcome::Crashed {
      record.ejected_until = Some(now + MAX_EJECTION);
      record.has_crashed = true;
      return Some(MAX_EJECTION);
    }
    if outcome != Outcome::Unreachable && record.failure_rate <= MAX_FAILURE_RATE {
      return None;
    }
    if record.ejected_until.is_some_and(|until| now < until) {
      return None;
    }
    let ejection = MIN_EJECTION.saturating_mul(1 << record.ejections.min(8)).min(MAX_EJECTION);
    record.ejected_until = Some(now + ejection);
    record.ejections += 1;
    // Starts at half of the limit, so that the first results after the ejection decide whether the
    // target is ejected again.
    record.failure_rate = MAX_FAILURE_RATE / 2.0;
    Some(ejection)
  }
}
