use {
  crate::{
    platform::Key,
    view::{Entry, HostState},
  },
  siphasher::sip::SipHasher13,
  std::{
    cmp::Reverse,
    hash::{Hash, Hasher},
    net::SocketAddr,
  },
};

/// Number of readers to which the logarithm of the fleet size is added.
const MIN_READERS: u32 = 2;

/// Returns the live hosts that read a key from the platform, highest rank first.
///
/// Their number grows with the logarithm of the fleet size. Ranks are those of rendezvous
/// hashing, so hosts with the same list agree on the readers, and when a host leaves, the
/// other readers stay.
pub fn readers(hosts: &[Entry], key: Key) -> Vec<SocketAddr> {
  let live = hosts.iter().filter(|host| host.state == HostState::Live);
  let mut ranked: Vec<SocketAddr> = live.map(|host| host.callers).collect();
  ranked.sort_by_cached_key(|host| Reverse(rank(*host, key)));
  let count = MIN_READERS + ranked.len().checked_ilog2().unwrap_or_default();
  ranked.truncate(usize::try_from(count).unwrap_or(usize::MAX));
  ranked
}

/// Returns whether the host at `own_address` reads a key from the platform.
///
/// A host that is not in the list does not know its rank yet, so it reads.
pub fn is_reader(hosts: &[Entry], own_address: SocketAddr, key: Key) -> bool {
  let listed = hosts.iter().any(|host| host.callers == own_address);
  !listed || readers(hosts, key).contains(&own_address)
}

fn rank(host: SocketAddr, key: Key) -> u64 {
  let mut hasher = SipHasher13::new();
  key.path().hash(&mut hasher);
  host.to_string().hash(&mut hasher);
  hasher.finish()
}
