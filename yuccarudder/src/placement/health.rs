use {
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::time::{Duration, Instant},
};

/// Weight of the newest outcome in the moving share of failures.
const NEWEST: f64 = 0.2;
/// Share of failures beyond which a target is passed over; callers of a healthy target
/// see far fewer.
const MAX_FAILURES: f64 = 0.35;
const MIN_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// What became of a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// It answered.
  Answered,
  /// It failed the request or broke off.
  Failed,
  /// It could not be reached.
  Unreachable,
}

impl Outcome {
  /// Returns the name used in metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::Answered => "answered",
      Self::Failed => "failed",
      Self::Unreachable => "unreachable",
    }
  }
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
  ejected_until: Option<Instant>,
  ejections: u32,
  failures: f64,
}

/// The outcomes of this host's requests by target.
#[derive(Clone, Debug, Default)]
pub struct Health {
  records: SecondaryMap<Key, Record>,
}

impl Health {
  /// Returns whether a target is to be passed over now.
  pub fn is_ejected(&self, key: Key, now: Instant) -> bool {
    let record = self.records.get(key);
    record.and_then(|record| record.ejected_until).is_some_and(|until| now < until)
  }

  /// Records an outcome; returns for how long the target is passed over by it.
  pub fn record(&mut self, key: Key, outcome: Outcome, now: Instant) -> Option<Duration> {
    let record = self.records.entry(key)?.or_default();
    let failed = outcome != Outcome::Answered;
    record.failures += NEWEST * (f64::from(u8::from(failed)) - record.failures);
    if !failed {
      if record.ejected_until.is_some_and(|until| until <= now) && record.failures < NEWEST {
        *record = Record::default();
      }
      return None;
    }
    if outcome != Outcome::Unreachable && record.failures <= MAX_FAILURES {
      return None;
    }
    if record.ejected_until.is_some_and(|until| now < until) {
      return None;
    }
    let ejection = MIN_EJECTION.saturating_mul(1 << record.ejections.min(8)).min(MAX_EJECTION);
    record.ejected_until = Some(now + ejection);
    record.ejections += 1;
    // The first outcomes after the ejection decide anew.
    record.failures = MAX_FAILURES / 2.0;
    Some(ejection)
  }
}
