use {
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

/// Sliding window in which requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The rate at which all hosts together may send requests to a target in its cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
  /// Requests per second that the target can sustain.
  pub rate: f64,
  /// Factor by which the hosts may exceed `rate` (setting `cold_overage`).
  pub overage: f64,
  /// Requests per second allowed in addition (setting `cold_allowance`).
  pub allowance: f64,
}

impl ColdLimit {
  /// Returns the requests per second that each of `hosts` may send.
  ///
  /// At least two hosts are assumed: a host that has not yet discovered the others would
  /// otherwise claim the whole rate.
  fn host_share(&self, hosts: usize) -> f64 {
    (self.rate * self.overage + self.allowance) / hosts.max(2) as f64
  }
}

/// Limits the rate at which this host sends requests to cold targets.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
  /// Times of recent requests to each target.
  sent: SecondaryMap<Key, VecDeque<Instant>>,
}

impl Throttle {
  /// Returns whether this host may send a request to a cold target now.
  ///
  /// If the share of this host is below one request per window, a request is allowed with
  /// that probability, by `random` from 0 to 1, so that the hosts together stay within the
  /// limit on average.
  pub fn allows(
    &self,
    key: Key,
    limit: &ColdLimit,
    hosts: usize,
    random: f64,
    now: Instant,
  ) -> bool {
    let share = limit.host_share(hosts);
    let recent = self.sent.get(key).map_or(0, |sent| {
      sent.iter().filter(|at| now.saturating_duration_since(**at) < WINDOW).count()
    });
    if share < 1.0 {
      recent == 0 && random < share
    } else {
      (recent + 1) as f64 <= share
    }
  }

  /// Records that a request was sent to a target.
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
