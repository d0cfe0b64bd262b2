use {
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

/// The time over which requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests a second that all hosts together may send to a target in its cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
  /// What the target bears.
  pub rate: f64,
  /// Times the rate that it may get.
  pub overage: f64,
  /// Requests beyond that.
  pub allowance: f64,
}

impl ColdLimit {
  /// Returns the part of one of `hosts`.
  ///
  /// Hosts that do not know each other yet would count too few of them, so a part is
  /// never more than one of two.
  fn part(&self, hosts: usize) -> f64 {
    (self.rate * self.overage + self.allowance) / hosts.max(2) as f64
  }
}

/// What this host has lately sent to targets.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
  sent: SecondaryMap<Key, VecDeque<Instant>>,
}

impl Throttle {
  /// Returns whether a cold target may get a request of this host.
  ///
  /// Where the part is less than one request, `random` from 0 to 1 decides, so that the
  /// hosts together stay within the bound on the mean.
  pub fn allows(
    &self,
    key: Key,
    bound: &ColdLimit,
    hosts: usize,
    random: f64,
    now: Instant,
  ) -> bool {
    let part = bound.part(hosts);
    let recent = self.sent.get(key).map_or(0, |sent| {
      sent.iter().filter(|at| now.saturating_duration_since(**at) < WINDOW).count()
    });
    if part < 1.0 {
      recent == 0 && random < part
    } else {
      (recent + 1) as f64 <= part
    }
  }

  /// Records a request.
  pub fn record(&mut self, key: Key, now: Instant) {
    let Some(entry) = self.sent.entry(key) else {
      return;
    };
    let sent = entry.or_default();
    while sent.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
      sent.pop_front();
    }
    sent.push_back(now);
  }
}
