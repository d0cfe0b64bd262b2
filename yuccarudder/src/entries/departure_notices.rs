use std::{
  net::SocketAddr,
  sync::{Arc, Mutex, PoisonError},
  time::{Duration, Instant},
};

/// How long a notice counts before the host list must show the leave.
const NOTICE_LIFE: Duration = Duration::from_secs(300);

/// Hosts that said they are leaving before the host list shows it.
#[derive(Clone, Debug, Default)]
pub struct DepartureNotices {
  notices: Arc<Mutex<Vec<(SocketAddr, Instant)>>>,
}

impl DepartureNotices {
  /// Returns the hosts that are leaving.
  pub fn current(&self, now: Instant) -> Vec<SocketAddr> {
    let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
    notices.retain(|(_, until)| now < *until);
    notices.iter().map(|(host, _)| *host).collect()
  }

  /// Records that a host is leaving.
  pub fn insert(&self, host: SocketAddr, now: Instant) {
    let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
    notices.retain(|(other, _)| *other != host);
    notices.push((host, now + NOTICE_LIFE));
  }

  /// Records that a new process serves at a host's address.
  pub fn remove(&self, host: SocketAddr) {
    let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
    notices.retain(|(other, _)| *other != host);
  }
}
