use {
  crate::view::{Entry, HostState},
  siphasher::sip::SipHasher13,
  std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
  },
};

/// A task that only one host at a time may perform for the whole fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Duty {
  /// Granting jobs at a cold target.
  ColdGrants(SocketAddr),
}

impl Duty {
  fn label(self) -> String {
    match self {
      Self::ColdGrants(target) => format!("cold {target}"),
    }
  }

  /// Returns the owner: the live host that ranks highest for the duty.
  pub fn owner(self, hosts: &[Entry]) -> Option<&Entry> {
    let label = self.label();
    let live = hosts.iter().filter(|host| host.state == HostState::Live);
    live.max_by_key(|host| (rank(&label, host.callers), host.callers))
  }
}

fn rank(label: &str, host: SocketAddr) -> u64 {
  let mut hasher = SipHasher13::new();
  label.hash(&mut hasher);
  host.to_string().hash(&mut hasher);
  hasher.finish()
}
