use {
  super::{Duty, Timing},
  crate::view::{HostList, Replica},
  std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Instant},
};

/// A host list and the time at which it came into force on this host.
#[derive(Clone, Debug)]
struct ListInForce {
  list: Arc<HostList>,
  revision: u64,
  since: Instant,
}

/// The host lists that were recently in force on this host, from which its ownership of duties
/// follows.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
  lists: VecDeque<ListInForce>,
}

impl Ownership {
  /// Returns the fencing token with which the host at `own_address` may perform a duty now;
  /// `None` if it may not.
  ///
  /// It may if `confirmed_at` is recent and it was the owner under each list of the last
  /// `timing.takeover_wait()`. Fencing tokens are revisions of the host list, so they rise from
  /// owner to owner.
  pub fn fencing_token(
    &self,
    duty: Duty,
    own_address: SocketAddr,
    confirmed_at: Option<Instant>,
    timing: &Timing,
    now: Instant,
  ) -> Option<u64> {
    let current =
      confirmed_at.is_some_and(|at| now.saturating_duration_since(at) <= timing.max_list_age);
    let first = self.lists.front()?;
    let waited = now.saturating_duration_since(first.since) >= timing.takeover_wait();
    let owned = |entry: &ListInForce| {
      duty.owner(&entry.list.hosts).is_some_and(|host| host.callers == own_address)
    };
    let owned = self.lists_during_wait(timing, now).all(owned);
    let newest = self.lists.back()?;
    (current && waited && owned).then_some(newest.revision)
  }

  /// Records the host list that is in force now.
  pub fn record_list(&mut self, replica: &Replica<HostList>, timing: &Timing, now: Instant) {
    let Some(accepted) = &replica.accepted else {
      return;
    };
    if self.lists.back().is_none_or(|last| last.revision != accepted.revision) {
      let has_gap = self.lists.back().is_some_and(|last| last.revision + 1 != accepted.revision);
      if has_gap {
        // Another host may have been the owner under a list that was never in force here.
        self.lists.clear();
      }
      self.lists.push_back(ListInForce {
        list: Arc::clone(&accepted.document),
        revision: accepted.revision,
        since: now,
      });
    }
    // The newest list older than the wait is kept: it was in force when the wait began.
    while self
      .lists
      .get(1)
      .is_some_and(|next| now.saturating_duration_since(next.since) >= timing.takeover_wait())
    {
      self.lists.pop_front();
    }
  }

  /// Returns the lists that were in force at some time during the wait that ends now.
  fn lists_during_wait(&self, timing: &Timing, now: Instant) -> impl Iterator<Item = &ListInForce> {
    let is_older =
      |entry: &&ListInForce| now.saturating_duration_since(entry.since) >= timing.takeover_wait();
    let older = self.lists.iter().filter(is_older).count();
    self.lists.iter().skip(older.saturating_sub(1))
  }
}
