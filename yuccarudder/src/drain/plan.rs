use {
  crate::tree::Settings,
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
  pub begun: Instant,
  /// How long new jobs are still taken.
  pub quiet: Duration,
  /// When long jobs are handed over, after `begun`.
  pub hand_over: Duration,
}

impl Plan {
  /// Plans a stop that begins now.
  ///
  /// New jobs are taken as long as callers may know the host from an answer of
  /// `/v1/entries` or hold a ticket that names it.
  pub fn new(begun: Instant, knobs: &Settings) -> Self {
    let quiet = knobs.entries_keep.max(knobs.ticket_life) + NOTICE_MARGIN;
    Self {
      begun,
      hand_over: knobs.drain_bound.max(quiet),
      quiet,
    }
  }

  /// Returns the phase at a time.
  pub fn phase(&self, now: Instant) -> Phase {
    let elapsed = now.saturating_duration_since(self.begun);
    if elapsed >= self.hand_over {
      Phase::HandingOver
    } else if elapsed >= self.quiet {
      Phase::Closed
    } else {
      Phase::Leaving
    }
  }
}
