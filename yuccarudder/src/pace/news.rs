use {
  super::{Exposure, Message, hazard},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Time for which samples of a target are summed before they are sent. Paces change slowly, and each message costs
/// about 30 bytes to each other host.
const INTERVAL: Duration = Duration::from_secs(3);

/// Sums over the samples of one target that have not been sent yet.
#[derive(Clone, Debug)]
pub struct News {
  exposure: BTreeMap<u32, Exposure>,
  gaps: u32,
  seconds: f64,
  since: Instant,
}

impl News {
  /// Adds what was seen of a stream with a pause limit.
  pub fn add_exposure(&mut self, exposure: &Exposure) {
    let sum = self.exposure.entry(exposure.bucket).or_default();
    sum.bucket = exposure.bucket;
    sum.streamed_ms = sum.streamed_ms.saturating_add(exposure.streamed_ms);
    sum.broken = sum.broken.saturating_add(exposure.broken);
  }

  /// Adds gaps of `seconds` together.
  pub fn add_gaps(&mut self, count: u32, seconds: f64) {
    self.gaps = self.gaps.saturating_add(count);
    self.seconds += seconds;
  }

  /// Returns whether they are to be sent.
  pub fn is_due(&self, now: Instant) -> bool {
    now.saturating_duration_since(self.since) >= INTERVAL
  }

  /// Returns the message about a target, given by its fingerprint.
  pub fn into_message(self, target: u64) -> Message {
    Message {
      target,
      gaps: self.gaps,
      streamed_ms: hazard::milliseconds(self.seconds),
      exposure: self.exposure.into_values().collect(),
    }
  }

  /// Creates empty sums.
  pub fn new(now: Instant) -> Self {
    Self {
      exposure: BTreeMap::new(),
      gaps: 0,
      seconds: 0.0,
      since: now,
    }
  }
}
