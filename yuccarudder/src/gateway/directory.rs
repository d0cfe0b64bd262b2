use {
  super::Gateway,
  std::{net::SocketAddr, time::Duration},
};

/// How long callers may keep an answer; a host that leaves is called for that long.
const KEEP: Duration = Duration::from_secs(2);
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Where callers are to connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory {
  /// Addresses of hosts that take callers.
  pub addresses: Vec<SocketAddr>,
  /// How long to keep the answer.
  pub keep: Duration,
}

impl Gateway {
  /// Returns where a caller is to connect; `None` when this host knows of none.
  pub fn directory(&self) -> Option<Directory> {
    let ready = self.is_ready();
    let state = self.lock();
    let mut addresses = state.ready_hosts(self.clock.boot());
    if ready {
      addresses.push(state.settings.callers);
    }
    addresses.sort_unstable();
    addresses.dedup();
    let count = addresses.len();
    if count > MAX_ADDRESSES {
      // Answers start at different hosts, so that no host is left out by all of them.
      addresses.rotate_left(rand::random_range(0..count));
      addresses.truncate(MAX_ADDRESSES);
    }
    let keep = KEEP.min(state.settings.promises.directory_keep);
    (!addresses.is_empty()).then_some(Directory { addresses, keep })
  }
}
