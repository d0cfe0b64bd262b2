use {
  super::{Exposure, Message, hazard},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Time, for each host of the fleet, for which samples of a target are summed before they are sent. Each message costs
/// about 30 bytes to each other host, and the more hosts tell of a target, the less is needed from each.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(50);
/// Bounds of that time. Paces change slowly, and the longest is less than the half-life of samples.
const MIN_INTERVAL: Duration = Duration::from_secs(2);
const MAX_INTERVAL: Duration = Duration::from_secs(20);

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

  /// Returns whether they are to be sent in a fleet of `hosts`.
  pub fn is_due(&self, hosts: usize, now: Instant) -> bool {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let interval = INTERVAL_PER_HOST.saturating_mul(hosts).clamp(MIN_INTERVAL, MAX_INTERVAL);
    now.saturating_duration_since(self.since) >= interval
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
