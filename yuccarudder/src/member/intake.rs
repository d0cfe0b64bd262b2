use std::net::SocketAddr;

/// Whom this host asks for a newer catalog.
///
/// Every pulse of a host that has a newer one is a reason to ask. In a large fleet most of
/// them have it at nearly the same time, so one transfer goes on at a time.
#[derive(Clone, Debug, Default)]
pub struct CatalogSource {
  asked: Option<SocketAddr>,
}

impl CatalogSource {
  /// Begins with a host that has a newer catalog; returns whether it is to be asked now.
  pub fn try_start(&mut self, host: SocketAddr) -> bool {
    let idle = self.asked.is_none();
    if idle {
      self.asked = Some(host);
    }
    idle
  }

  /// Ends a transfer and returns whom to ask next among the hosts that have a newer
  /// catalog still: another one if there is one. `random` is from 0 to 1.
  pub fn advance(&mut self, newer: &[SocketAddr], random: f64) -> Option<SocketAddr> {
    let others: Vec<SocketAddr> =
      newer.iter().copied().filter(|host| Some(*host) != self.asked).collect();
    let index = (random * others.len() as f64) as usize;
    let other = others.get(index.min(others.len().saturating_sub(1)));
    self.asked = other.or(newer.first()).copied();
    self.asked
  }
}
