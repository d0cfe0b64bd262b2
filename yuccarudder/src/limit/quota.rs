use std::{
  collections::{HashMap, VecDeque},
  time::{Duration, Instant},
};

/// The retry budget of one service, shared by all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
  /// Retries allowed in each window regardless of the number of requests.
  pub allowance: f64,
  /// Additional retries allowed per request in the window.
  pub share: f64,
  /// Length of the sliding window.
  pub window: Duration,
}

/// Times of the requests and retries of a service in the last window.
#[derive(Clone, Debug, Default)]
struct History {
  retries: VecDeque<Instant>,
  requests: VecDeque<Instant>,
}

/// This host's quota of the retry budget of each service.
///
/// The quota is the budget's share of the host's own requests plus an equal part of the
/// allowance, rounded down to whole retries. A new process gets no allowance during its first
/// window, since an earlier process on the same host may have used it. So the quotas of all
/// hosts together never exceed the budget.
#[derive(Clone, Debug)]
pub struct RetryQuota {
  by_service: HashMap<String, History>,
  started: Instant,
}

impl RetryQuota {
  /// Creates the quota of a process that started at `started`.
  pub fn new(started: Instant) -> Self {
    Self {
      by_service: HashMap::new(),
      started,
    }
  }

  /// Records a new request for a service, which raises the quota.
  pub fn record_request(&mut self, service: &str, budget: &RetryBudget, now: Instant) {
    let history = self.by_service.entry(service.into()).or_default();
    drop_expired(&mut history.requests, budget, now);
    history.requests.push_back(now);
  }

  /// Takes back the newest request for a service, which another host counts.
  pub fn withdraw_request(&mut self, service: &str) {
    if let Some(history) = self.by_service.get_mut(service) {
      history.requests.pop_back();
    }
  }

  /// Takes one retry from the quota if one is left; returns whether it was.
  ///
  /// `hosts` is the number of hosts that share the allowance.
  pub fn try_acquire(
    &mut self,
    service: &str,
    budget: &RetryBudget,
    hosts: usize,
    now: Instant,
  ) -> bool {
    let in_first_window = now.saturating_duration_since(self.started) < budget.window;
    let allowance = if in_first_window {
      0.0
    } else {
      (budget.allowance / hosts.max(1) as f64).floor()
    };
    let history = self.by_service.entry(service.into()).or_default();
    drop_expired(&mut history.requests, budget, now);
    drop_expired(&mut history.retries, budget, now);
    let quota = budget.share * history.requests.len() as f64 + allowance;
    let granted = (history.retries.len() + 1) as f64 <= quota;
    if granted {
      history.retries.push_back(now);
    }
    granted
  }
}

/// Drops the times that have left the window.
fn drop_expired(times: &mut VecDeque<Instant>, budget: &RetryBudget, now: Instant) {
  let expired = |at: &Instant| now.saturating_duration_since(*at) >= budget.window;
  while times.front().is_some_and(expired) {
    times.pop_front();
  }
}
