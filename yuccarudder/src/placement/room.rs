use std::time::{Duration, Instant};

/// Time after a rejection in which no more places are used than are known to fit.
const RETRIAL_INTERVAL: Duration = Duration::from_secs(10);

/// A number of requests that were at a target at the same time, and what the target made of the last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sighting {
  /// When the target took or rejected the last of the requests.
  pub at: Instant,
  /// Number of requests.
  pub places: u32,
}

/// What is known of the number of requests that a target takes at the same time.
///
/// The number grows only when as many requests were taken, and by half of the rejections that the target
/// bears in a second: the loads of other hosts, by which requests are counted, are not exact.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Room {
  /// The last number of requests that proved to be too many.
  exceeded: Option<Sighting>,
  /// The largest number of requests that the target is known to take.
  taken: Option<Sighting>,
}

impl Room {
  /// Returns the last number of requests that proved to be too many.
  pub fn exceeded(&self) -> Option<Sighting> {
    self.exceeded
  }

  /// Returns the largest number of requests that the target is known to take.
  pub fn taken(&self) -> Option<Sighting> {
    self.taken
  }

  /// Returns the number of requests that all hosts together may have at the target, which bears
  /// `tolerance` rejections in a second. It starts at `first`.
  pub fn limit(&self, first: u32, tolerance: f64, now: Instant) -> u32 {
    let taken = self.taken.map_or(0, |taken| taken.places);
    let Some(exceeded) = self.exceeded else {
      let step = ((tolerance / 2.0) as u32).max(1);
      return first.max(taken.saturating_add(step)).max(1);
    };
    let fitting = exceeded.places.saturating_sub(1);
    let limit = if now.saturating_duration_since(exceeded.at) < RETRIAL_INTERVAL {
      fitting
    } else {
      exceeded.places.max(taken.saturating_add(1))
    };
    limit.max(1)
  }

  /// Returns the same without what the target took before a time.
  pub fn since(self, time: Instant) -> Self {
    Self {
      taken: self.taken.filter(|taken| taken.at >= time),
      ..self
    }
  }

  /// Records that the target took a number of requests.
  pub fn record_taken(&mut self, mut sighting: Sighting) {
    if let Some(exceeded) = self.exceeded.filter(|exceeded| exceeded.at >= sighting.at) {
      sighting.places = sighting.places.min(exceeded.places.saturating_sub(1));
    }
    if self.taken.is_none_or(|taken| taken.places <= sighting.places) {
      self.taken = Some(sighting);
    }
  }

  /// Records that a number of requests proved to be too many.
  pub fn record_exceeded(&mut self, sighting: Sighting) {
    if self.exceeded.is_some_and(|exceeded| exceeded.at >= sighting.at) {
      return;
    }
    self.exceeded = Some(sighting);
    if let Some(taken) = &mut self.taken {
      taken.places = taken.places.min(sighting.places.saturating_sub(1));
    }
  }

  /// Adds what another host knows.
  pub fn merge(&mut self, other: &Self) {
    if let Some(exceeded) = other.exceeded {
      self.record_exceeded(exceeded);
    }
    if let Some(taken) = other.taken {
      self.record_taken(taken);
    }
  }
}
