use {
  super::{Duty, Timing},
  crate::view::{HostList, Replica},
  std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Instant},
};

#[derive(Clone, Debug)]
struct Seen {
  list: Arc<HostList>,
  revision: u64,
  since: Instant,
}

/// The host lists that a host has had in force lately.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
  seen: VecDeque<Seen>,
}

impl Ownership {
  /// Returns the fencing number under which `this` may act for a duty now, if it may.
  ///
  /// Fencing numbers are revisions of the host list, so they rise from owner to owner.
  pub fn fencing_token(
    &self,
    duty: Duty,
    this: SocketAddr,
    confirmed: Option<Instant>,
    terms: &Timing,
    now: Instant,
  ) -> Option<u64> {
    let fresh = confirmed.is_some_and(|at| now.saturating_duration_since(at) <= terms.fresh);
    let first = self.seen.front()?;
    let waited = now.saturating_duration_since(first.since) >= terms.takeover_wait();
    let owned = |seen: &Seen| duty.owner(&seen.list.hosts).is_some_and(|host| host.callers == this);
    let owned = self.window(terms, now).all(owned);
    let newest = self.seen.back()?;
    (fresh && waited && owned).then_some(newest.revision)
  }

  /// Records the host list in force.
  pub fn record_list(&mut self, slot: &Replica<HostList>, terms: &Timing, now: Instant) {
    let Some(accepted) = &slot.accepted else {
      return;
    };
    if self.seen.back().is_none_or(|seen| seen.revision != accepted.revision) {
      let missed = self.seen.back().is_some_and(|seen| seen.revision + 1 != accepted.revision);
      if missed {
        // Another host may have been the owner under a list that was not seen here.
        self.seen.clear();
      }
      self.seen.push_back(Seen {
        list: Arc::clone(&accepted.document),
        revision: accepted.revision,
        since: now,
      });
    }
    // The list before the window's start was in force at its start.
    while self
      .seen
      .get(1)
      .is_some_and(|next| now.saturating_duration_since(next.since) >= terms.takeover_wait())
    {
      self.seen.pop_front();
    }
  }

  /// Returns the lists that were in force at some time of the wait that ends now.
  fn window(&self, terms: &Timing, now: Instant) -> impl Iterator<Item = &Seen> {
    let old = |seen: &&Seen| now.saturating_duration_since(seen.since) >= terms.takeover_wait();
    let before = self.seen.iter().filter(old).count();
    self.seen.iter().skip(before.saturating_sub(1))
  }
}
