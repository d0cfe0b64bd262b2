use {super::STREAM_RETENTION, std::time::Duration};

/// A time of which a host knows all versions that were in service.
///
/// Times are of a clock that keeps running while the host is suspended. The time ends with the last proof:
/// it does not grow by itself, since a host may be out of touch without noticing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Coverage {
  /// When its beginning is as long ago as streams last.
  spans_retention_at: Duration,
  until: Duration,
}

impl Coverage {
  /// Builds the time from `age` before `now`, no longer than streams last, up to `until`.
  pub fn new(age: Duration, now: Duration, until: Duration) -> Self {
    Self {
      spans_retention_at: now + STREAM_RETENTION.saturating_sub(age),
      until,
    }
  }

  /// Returns the time since its beginning, up to how long streams last.
  pub fn age(&self, now: Duration) -> Duration {
    (now + STREAM_RETENTION).saturating_sub(self.spans_retention_at).min(STREAM_RETENTION)
  }

  /// Returns the same time up to another end.
  #[must_use]
  pub fn extended(self, until: Duration) -> Self {
    Self { until, ..self }
  }

  /// Returns both times as one; `None` if there is a gap between them.
  pub fn join(&self, other: &Self) -> Option<Self> {
    let is_gapless = self.begins_by(other.until) && other.begins_by(self.until);
    is_gapless.then(|| Self {
      spans_retention_at: self.spans_retention_at.min(other.spans_retention_at),
      until: self.until.max(other.until),
    })
  }

  /// Returns the same time from an earlier beginning: that of another time, unless that ended before.
  #[must_use]
  pub fn reaching_back(self, earlier: &Self) -> Self {
    if !self.begins_by(earlier.until) {
      return self;
    }
    Self {
      spans_retention_at: self.spans_retention_at.min(earlier.spans_retention_at),
      ..self
    }
  }

  /// Returns whether it begins no later than at a time.
  pub fn begins_by(&self, time: Duration) -> bool {
    self.spans_retention_at <= time + STREAM_RETENTION
  }

  /// Returns whether at a time its beginning is as long ago as streams last.
  pub fn spans_retention(&self, at: Duration) -> bool {
    self.spans_retention_at <= at
  }

  /// Returns its end.
  pub fn until(&self) -> Duration {
    self.until
  }
}
