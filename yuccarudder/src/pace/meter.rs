use {
  super::Sample,
  std::time::{Duration, Instant},
};

/// Number of gaps after which a sample is complete.
const SAMPLE_GAPS: u32 = 16;
/// Minimum number of gaps of a sample at the end of a stream.
const MIN_GAPS: u32 = 2;
/// Pauses of at least this length are preemptions or moves and say nothing about the pace.
const INTERRUPTION: Duration = Duration::from_secs(1);

/// Measures the gaps between the events of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
  broken: u32,
  gaps: u32,
  /// When the last event arrived; `None` if the next gap does not count.
  last_event: Option<Instant>,
  streamed: Duration,
  /// Fingerprint of the target that sends the events.
  target: u64,
}

impl Meter {
  /// Leaves out the current gap, whose length does not depend on the target alone.
  pub fn interrupt(&mut self) {
    self.last_event = None;
  }

  /// Measures the gap before `events` events that arrived together from a target. Gaps between events of different
  /// targets are left out. Returns a sample and its target when there are enough gaps or the target is another one.
  pub fn observe(
    &mut self,
    target: u64,
    events: u64,
    limit: Duration,
    now: Instant,
  ) -> Option<(u64, Sample)> {
    if self.target != target {
      let sample = self.finish(limit);
      self.target = target;
      self.last_event = Some(now);
      return sample;
    }
    let pause = now.saturating_duration_since(self.last_event.replace(now)?);
    if pause >= INTERRUPTION {
      return None;
    }
    self.gaps = self.gaps.saturating_add(u32::try_from(events).unwrap_or(u32::MAX));
    self.streamed = self.streamed.saturating_add(pause);
    if !limit.is_zero() && pause > limit {
      self.broken += 1;
    }
    if self.gaps < SAMPLE_GAPS {
      return None;
    }
    let sample = self.finish(limit);
    self.last_event = Some(now);
    sample
  }

  /// Returns the sample of the last gaps and its target when the stream has ended, if there are enough.
  pub fn finish(&mut self, limit: Duration) -> Option<(u64, Sample)> {
    let sample = Sample {
      broken: self.broken,
      gaps: self.gaps,
      limit,
      streamed: self.streamed,
    };
    let target = self.target;
    *self = Self {
      target,
      ..Self::default()
    };
    (sample.gaps >= MIN_GAPS).then_some((target, sample))
  }
}
