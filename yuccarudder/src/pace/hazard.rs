use {
  super::{Exposure, Rates},
  libm::{exp2, log2},
  std::time::{Duration, Instant},
};

/// Time after which a sample counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);
pub(super) const BUCKETS: usize = 32;
/// Number of buckets in which the ratio doubles.
pub(super) const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Streamed time in seconds from which a rate over all buckets is used as measured. With less, it is shrunk towards
/// zero.
const ENOUGH_SECONDS: f64 = 5.0;
/// Streamed time in seconds from which the rate of a bucket counts as much as that of all buckets. Violations are rare,
/// so a single one in a shorter time says little about its bucket.
const PRIOR_SECONDS: f64 = 20.0;
/// Weight of a bucket without data, in seconds, so that no weight is zero.
const MIN_WEIGHT: f64 = 1e-3;

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

pub(super) fn milliseconds(seconds: f64) -> u32 {
  // The conversion clamps to the range. Sums of rounded seconds may be slightly too small.
  (seconds * 1e3).round() as u32
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

  /// Returns the part of the weight of all samples that is left.
  fn kept(&self, now: Instant) -> f64 {
    self.updated_at.map_or(1.0, |at| decay(at, now))
  }

  /// Returns the number of violations per second over all buckets.
  pub fn total_rate(&self, now: Instant) -> f64 {
    let kept = self.kept(now);
    let broken: f64 = self.buckets.iter().map(|bucket| bucket.broken).sum();
    let seconds: f64 = self.buckets.iter().map(|bucket| bucket.seconds).sum();
    broken * kept / (seconds * kept).max(ENOUGH_SECONDS)
  }

  /// Returns the rate of each bucket. Buckets with little data are shrunk towards the rate over all of them. A larger
  /// ratio can't break limits more often, so neighbours that seem to show that are joined (isotonic regression).
  pub fn rates(&self, now: Instant) -> Rates {
    let kept = self.kept(now);
    let total_rate = self.total_rate(now);
    let weights = self.buckets.map(|bucket| bucket.seconds * kept + MIN_WEIGHT);
    // The first `count` blocks of joined buckets: rate, weight and number of buckets.
    let mut blocks = [(0.0, 0.0, 0); BUCKETS];
    let mut count = 0;
    for (bucket, weight) in self.buckets.iter().zip(weights) {
      let broken = bucket.broken * kept + PRIOR_SECONDS * total_rate;
      let mut block = (broken / (bucket.seconds * kept + PRIOR_SECONDS), weight, 1);
      while count > 0 && blocks[count - 1].0 < block.0 {
        count -= 1;
        let (rate, weight, width) = blocks[count];
        let sum = weight + block.1;
        block = (
          (rate * weight + block.0 * block.1) / sum,
          sum,
          width + block.2,
        );
      }
      blocks[count] = block;
      count += 1;
    }
    let mut rates = [0.0; BUCKETS];
    let mut start = 0;
    for (rate, _, width) in &blocks[..count] {
      rates[start..start + width].fill(*rate);
      start += width;
    }
    Rates { rates, weights }
  }
}
