use {
  crate::tree::Settings,
  serde::Serialize,
  std::time::{Duration, Instant},
};

/// Time for the other hosts to receive the announcement that this one is leaving.
const NOTICE_MARGIN: Duration = Duration::from_secs(1);

/// The phase of a host's graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
  /// The host accepts jobs and is listed for callers.
  Serving,
  /// The host still accepts jobs but is no longer listed for callers.
  Leaving,
  /// The host accepts no new jobs and finishes those in flight.
  Closed,
  /// As `Closed`; also directs the callers of long jobs to reattach at another host.
  HandingOver,
}

/// The schedule of one graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
  /// When the shutdown started.
  pub started_at: Instant,
  /// Time after `started_at` during which new jobs are still accepted.
  pub notice_period: Duration,
  /// Time after `started_at` at which the callers of long jobs are directed to reattach at another
  /// host.
  pub handover_delay: Duration,
}

impl Plan {
  /// Plans a shutdown that starts at `started_at`.
  ///
  /// New jobs are accepted for as long as callers may use an earlier response of
  /// `/v1/entries` that lists the host, or a ticket that names it as home.
  pub fn new(started_at: Instant, settings: &Settings) -> Self {
    let notice_period = settings.entries_keep.max(settings.ticket_life) + NOTICE_MARGIN;
    Self {
      started_at,
      handover_delay: settings.drain_bound.max(notice_period),
      notice_period,
    }
  }

  /// Returns the phase at `now`.
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
