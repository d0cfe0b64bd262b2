use std::{
  collections::{HashMap, VecDeque},
  time::{Duration, Instant},
};

/// The retry budget of a service over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
  /// Retries in a window that no request has to be set against.
  pub allowance: f64,
  /// Retries per request.
  pub share: f64,
  /// The length of the sliding window.
  pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct Counts {
  repeats: VecDeque<Instant>,
  requests: VecDeque<Instant>,
}

/// This host's part of the retry budgets.
///
/// A part is the share of the host's own requests and an equal part of the allowance.
/// A process that starts has no allowance for one window, since an earlier process of
/// the same host may have spent it; so the parts never exceed the whole.
#[derive(Clone, Debug)]
pub struct RetryQuota {
  counts: HashMap<String, Counts>,
  started: Instant,
}

impl RetryQuota {
  /// Builds the part of a process that starts now.
  pub fn new(started: Instant) -> Self {
    Self {
      counts: HashMap::new(),
      started,
    }
  }

  /// Counts a request of a caller for a service.
  pub fn record_request(&mut self, service: &str, bound: &RetryBudget, now: Instant) {
    let counts = self.counts.entry(service.into()).or_default();
    forget(&mut counts.requests, bound, now);
    counts.requests.push_back(now);
  }

  /// Takes one repeat if the part, one of `hosts`, has it.
  pub fn try_acquire(
    &mut self,
    service: &str,
    bound: &RetryBudget,
    hosts: usize,
    now: Instant,
  ) -> bool {
    let young = now.saturating_duration_since(self.started) < bound.window;
    let allowance = if young {
      0.0
    } else {
      (bound.allowance / hosts.max(1) as f64).floor()
    };
    let counts = self.counts.entry(service.into()).or_default();
    forget(&mut counts.requests, bound, now);
    forget(&mut counts.repeats, bound, now);
    let part = bound.share * counts.requests.len() as f64 + allowance;
    let granted = (counts.repeats.len() + 1) as f64 <= part;
    if granted {
      counts.repeats.push_back(now);
    }
    granted
  }
}

fn forget(times: &mut VecDeque<Instant>, bound: &RetryBudget, now: Instant) {
  let old = |at: &Instant| now.saturating_duration_since(*at) >= bound.window;
  while times.front().is_some_and(old) {
    times.pop_front();
  }
}
