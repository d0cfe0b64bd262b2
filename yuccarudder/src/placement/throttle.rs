use {
  super::PlaceShare,
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

/// Sliding window in which requests to a cold target are counted if it takes at least one in it.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest window of a target that takes less than one request a second.
const MAX_WINDOW: Duration = Duration::from_secs(60);
/// Smallest number of hosts among which a limit is shared: a host that knows no other may be cut off from
/// them.
const MIN_HOSTS: usize = 2;

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
  /// Returns the share of one host in the requests of a window.
  ///
  /// The requests belong to the hosts in turn, by an order that is the same on all of them and in which
  /// this host has a `position`, so that the sum never exceeds the limit, with no word between the hosts.
  /// A host that counts others that have ended gets no more than its share.
  pub fn share(&self, hosts: usize, position: Option<usize>) -> PlaceShare {
    PlaceShare {
      hosts: hosts.max(MIN_HOSTS),
      position,
      slots: self.requests(),
    }
  }

  /// Returns the number of requests that all hosts together may send in a window.
  pub fn requests(&self) -> u32 {
    let per_second = self.per_second();
    if per_second > 0.0 {
      (per_second * WINDOW.as_secs_f64()).max(1.0) as u32
    } else {
      0
    }
  }

  /// Returns the length of the sliding window in which requests are counted: as long as it takes the
  /// target to bear one.
  pub fn window(&self) -> Duration {
    let seconds = 1.0 / self.per_second().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.clamp(WINDOW.as_secs_f64(), MAX_WINDOW.as_secs_f64()))
  }

  fn per_second(&self) -> f64 {
    self.rate * self.overage + self.allowance
  }
}

/// Limits the rate at which this host sends requests to cold targets.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
  /// Times of recent requests to each target, and of the last one.
  sent: SecondaryMap<Key, VecDeque<Instant>>,
}

impl Throttle {
  /// Returns whether this host, which has a share of a limit, may send a request to a cold target now.
  pub fn allows(&self, key: Key, limit: &ColdLimit, share: &PlaceShare, now: Instant) -> bool {
    let window = limit.window();
    let recent = self.sent.get(key).map_or(0, |sent| {
      sent.iter().filter(|at| now.saturating_duration_since(**at) < window).count()
    });
    u32::try_from(recent).is_ok_and(|recent| recent < share.places())
  }

  /// Records that a target was chosen for a request, which is about to be sent.
  pub fn record(&mut self, key: Key, now: Instant) {
    let Some(entry) = self.sent.entry(key) else {
      return;
    };
    let sent = entry.or_default();
    while sent.len() > 1
      && sent.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW)
    {
      sent.pop_front();
    }
    sent.push_back(now);
  }

  /// Records that the request for which a target was chosen at `chosen_at` is sent: connections take
  /// different times.
  pub fn record_sent(&mut self, key: Key, chosen_at: Instant, now: Instant) {
    let Some(sent) = self.sent.get_mut(key) else {
      return;
    };
    if let Some(at) = sent.iter_mut().find(|at| **at == chosen_at) {
      *at = now.max(chosen_at);
    }
  }
}
