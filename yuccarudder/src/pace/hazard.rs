use {
  super::Exposure,
  libm::{exp2, log2},
  std::time::{Duration, Instant},
};

/// Time after which a sample counts half.
pub(super) const HALF_LIFE: Duration = Duration::from_secs(30);
/// Number of buckets.
const BUCKETS: usize = 32;
/// Number of buckets in which the ratio doubles.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Streamed time in seconds from which a rate is used as measured. With less, it is shrunk towards zero, so that
/// it fades when samples stop.
const ENOUGH_SECONDS: f64 = 5.0;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
  broken: f64,
  seconds: f64,
}

/// How often pauses break their limit, by the ratio of the limit to the mean gap of the target.
#[derive(Clone, Debug, Default)]
pub struct Hazard {
  buckets: [Bucket; BUCKETS],
  updated_at: Option<Instant>,
}

/// Returns the part of its weight that a sample keeps between two times.
pub(super) fn decay(since: Instant, now: Instant) -> f64 {
  let age = now.saturating_duration_since(since);
  exp2(-age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// Returns the bucket of a ratio.
pub(super) fn bucket(ratio: f64) -> usize {
  // The conversion clamps negative numbers and those that are not numbers to zero.
  ((log2(ratio) * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

/// Returns the ratio at the middle of a bucket.
pub(super) fn ratio(bucket: u32) -> f64 {
  exp2((f64::from(bucket.min(BUCKETS as u32 - 1)) + 0.5) / BUCKETS_PER_OCTAVE)
}

impl Hazard {
  /// Adds what was seen of some streams.
  pub fn add(&mut self, exposure: &Exposure, now: Instant) {
    let kept = self.kept(now);
    for bucket in &mut self.buckets {
      bucket.broken *= kept;
      bucket.seconds *= kept;
    }
    self.updated_at = self.updated_at.max(Some(now));
    let bucket = &mut self.buckets[(exposure.bucket as usize).min(BUCKETS - 1)];
    bucket.broken += f64::from(exposure.broken);
    bucket.seconds += f64::from(exposure.streamed_ms) / 1e3;
  }

  fn kept(&self, now: Instant) -> f64 {
    self.updated_at.map_or(1.0, |at| decay(at, now))
  }

  /// Returns how many pauses per second break a limit that is `ratio` times the mean gap. A bucket with little
  /// data is joined with its neighbours on both sides until there is enough.
  pub fn rate(&self, ratio: f64, now: Instant) -> f64 {
    let kept = self.kept(now);
    let middle = bucket(ratio);
    let mut sum = self.buckets[middle];
    let mut radius = 0;
    while sum.seconds * kept < ENOUGH_SECONDS && radius < BUCKETS {
      radius += 1;
      let below = middle.checked_sub(radius).map(|index| self.buckets[index]);
      let above = self.buckets.get(middle + radius).copied();
      for bucket in [below, above].into_iter().flatten() {
        sum.broken += bucket.broken;
        sum.seconds += bucket.seconds;
      }
    }
    sum.broken * kept / (sum.seconds * kept).max(ENOUGH_SECONDS)
  }

  /// Returns the rate over all buckets.
  pub fn total_rate(&self, now: Instant) -> f64 {
    let kept = self.kept(now);
    let broken: f64 = self.buckets.iter().map(|bucket| bucket.broken).sum();
    let seconds: f64 = self.buckets.iter().map(|bucket| bucket.seconds).sum();
    broken * kept / (seconds * kept).max(ENOUGH_SECONDS)
  }
}
