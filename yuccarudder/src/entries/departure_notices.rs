use std::{
  net::SocketAddr,
  sync::{Arc, Mutex, PoisonError},
  time::{Duration, Instant},
};

/// How long a notice stays valid; by then the host list must show that the host is leaving.
const NOTICE_LIFETIME: Duration = Duration::from_secs(300);

/// The hosts that announced they are leaving, which the host list may not show yet.
#[derive(Clone, Debug, Default)]
pub struct DepartureNotices {
  notices: Arc<Mutex<Vec<(SocketAddr, Instant)>>>,
}

impl DepartureNotices {
  /// Returns the hosts whose notices are still valid.
  pub fn current(&self, now: Instant) -> Vec<SocketAddr> {
    let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
    notices.retain(|(_, expires)| now < *expires);
    notices.iter().map(|(host, _)| *host).collect()
  }

  /// Records that a host announced it is leaving.
  pub fn insert(&self, host: SocketAddr, now: Instant) {
    let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
    notices.retain(|(other, _)| *other != host);
    notices.push((host, now + NOTICE_LIFETIME));
  }

  /// Removes the notice of a host, since a new process serves at its address.
  pub fn remove(&self, host: SocketAddr) {
    let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
    notices.retain(|(other, _)| *other != host);
  }
}
