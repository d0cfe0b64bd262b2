use {
  crate::tree::Knobs,
  serde::Serialize,
  std::time::{Duration, Instant},
};

/// Time for the news of a leave to reach the other hosts.
const NOTICE_MARGIN: Duration = Duration::from_secs(1);

/// How far a host is with its stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
  /// It serves and is named to callers.
  Serving,
  /// It serves and is no longer named.
  Leaving,
  /// It takes no new jobs and finishes those in hand.
  Closed,
  /// It also tells the callers of long jobs to reattach elsewhere.
  HandingOver,
}

/// The times of one graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
  /// When the stop began.
  pub started_at: Instant,
  /// How long new jobs are still taken.
  pub notice_period: Duration,
  /// When long jobs are handed over, after `started_at`.
  pub handover_delay: Duration,
}

impl Plan {
  /// Plans a stop that begins now.
  ///
  /// New jobs are taken as long as callers may know the host from an answer of
  /// `/v1/entries` or hold a ticket that names it.
  pub fn new(started_at: Instant, knobs: &Knobs) -> Self {
    let notice_period = knobs.entries_keep.max(knobs.ticket_life) + NOTICE_MARGIN;
    Self {
      started_at,
      handover_delay: knobs.drain_bound.max(notice_period),
      notice_period,
    }
  }

  /// Returns the phase at a time.
  pub fn phase(&self, now: Instant) -> Phase {
    let elapsed = now.saturating_duration_since(self.started_at);
    if elapsed >= self.handover_delay {
      Phase::HandingOver
    } else if elapsed >= self.notice_period {
      Phase::Closed
    } else {
      Phase::Leaving
    }
  }
}
