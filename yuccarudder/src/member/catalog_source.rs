use std::net::SocketAddr;

/// The host from which this one fetches a newer catalog.
///
/// Every heartbeat of a host with a newer catalog is a reason to fetch it. In a large fleet
/// most hosts have it at nearly the same time, so only one transfer runs at a time.
#[derive(Clone, Debug, Default)]
pub struct CatalogSource {
  current: Option<SocketAddr>,
}

impl CatalogSource {
  /// Starts a transfer from `host` unless one is running; returns whether it was started.
  pub fn try_start(&mut self, host: SocketAddr) -> bool {
    let idle = self.current.is_none();
    if idle {
      self.current = Some(host);
    }
    idle
  }

  /// Ends the running transfer and returns the host to fetch from next, if any.
  ///
  /// Chooses at random among the hosts that still have a `newer` catalog, and the host that
  /// was just asked only if there is no other. `random` is from 0 to 1.
  pub fn advance(&mut self, newer: &[SocketAddr], random: f64) -> Option<SocketAddr> {
    let others: Vec<SocketAddr> =
      newer.iter().copied().filter(|host| Some(*host) != self.current).collect();
    let index = (random * others.len() as f64) as usize;
    let other = others.get(index.min(others.len().saturating_sub(1)));
    self.current = other.or(newer.first()).copied();
    self.current
  }
}
