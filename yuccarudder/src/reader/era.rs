use std::time::Duration;

/// Time after a restore of the store within which the writes that it lost are written again. A
/// read during that time may lack a change that was acknowledged before the restore.
pub const REWRITE_PERIOD: Duration = Duration::from_secs(2);

/// How the era of a response or of another host relates to the newest one that a host knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
  /// The store has been restored since; what it said before no longer holds.
  Outdated,
  /// It is the newest known era.
  Current,
  /// The store was restored, which this host learns now.
  Restored,
}

/// The newest era of the store that a host knows, and when the host learned of it.
///
/// Times are from the boot clock, which keeps running during suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
  number: Option<u64>,
  /// When the store was known to be restored; `None` if the host has known no earlier era.
  restored_at: Option<Duration>,
}

impl Era {
  /// Records the era of a response of the store or of another host's heartbeat.
  ///
  /// The first era that a process learns of is not a restore.
  pub fn observe(&mut self, number: u64, now: Duration) -> Relation {
    match self.number {
      Some(known) if number < known => Relation::Outdated,
      Some(known) if number == known => Relation::Current,
      Some(_) => {
        self.number = Some(number);
        self.restored_at = Some(now);
        Relation::Restored
      }
      None => {
        self.number = Some(number);
        Relation::Current
      }
    }
  }

  /// Records that another host learned `age` ago that the store was restored in the current era.
  ///
  /// A process that has started since then would otherwise take the restored copy for complete.
  pub fn observe_restore(&mut self, age: Duration, now: Duration) {
    if age < REWRITE_PERIOD && self.restored_at.is_none() {
      self.restored_at = Some(now.saturating_sub(age));
    }
  }

  /// Returns the newest known era, if any is known.
  pub fn number(&self) -> Option<u64> {
    self.number
  }

  /// Returns the time since this host learned of the last restore, during the rewrite period.
  pub fn restore_age(&self, now: Duration) -> Option<Duration> {
    let age = now.saturating_sub(self.restored_at?);
    (age < REWRITE_PERIOD).then_some(age)
  }

  /// Returns whether a read that was requested at `requested_at` proves that no newer change has
  /// been acknowledged.
  ///
  /// A read in the rewrite period does not: the change may be among those that the store lost.
  pub fn is_complete(&self, requested_at: Duration) -> bool {
    self.restored_at.is_none_or(|at| requested_at >= at + REWRITE_PERIOD)
  }
}
