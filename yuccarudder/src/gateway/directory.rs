use {
  super::Gateway,
  std::{net::SocketAddr, time::Duration},
};

/// How long callers may keep an answer; a host that leaves is called for that long.
const KEEP: Duration = Duration::from_secs(2);
/// Part of unequal hosts that one answer names: one in this many.
const NAMED_PART: usize = 3;
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Where callers are to connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory {
  /// Addresses of hosts that take callers.
  pub addresses: Vec<SocketAddr>,
  /// How long to keep the answer.
  pub time_to_live: Duration,
}

impl Gateway {
  /// Returns where a caller is to connect; `None` when this host knows of none.
  pub fn directory(&self) -> Option<Directory> {
    let ready = self.is_ready();
    let state = self.lock();
    let mut hosts = state.ready_hosts(self.clock.boot());
    if ready {
      hosts.push((state.settings.callers, state.settings.weight));
    }
    let time_to_live = KEEP.min(state.settings.promises.directory_keep);
    let addresses = spread(hosts, || rand::random_range(0.0..1.0));
    (!addresses.is_empty()).then_some(Directory {
      addresses,
      time_to_live,
    })
  }
}

/// Chooses the hosts to name, so that each gets callers by its weight.
///
/// Callers pick one of the addresses at random. Where all hosts are alike, all are named;
/// else each answer names a random part of them, in which heavier ones are more often.
pub(super) fn spread(
  mut hosts: Vec<(SocketAddr, u32)>,
  mut random: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
  hosts.sort_unstable();
  hosts.dedup_by_key(|(address, _)| *address);
  let alike = hosts.windows(2).all(|pair| pair[0].1 == pair[1].1);
  let count = if alike {
    hosts.len()
  } else {
    hosts.len().div_ceil(NAMED_PART)
  };
  // The largest of u^(1/w) are a sample without replacement, by the weights w.
  let key = |weight: u32, random: f64| random.powf(1.0 / f64::from(weight.max(1)));
  let mut ranked: Vec<(f64, SocketAddr)> =
    hosts.into_iter().map(|(address, weight)| (key(weight, random()), address)).collect();
  ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
  ranked.truncate(count.min(MAX_ADDRESSES));
  let mut addresses: Vec<SocketAddr> = ranked.into_iter().map(|(_, address)| address).collect();
  addresses.sort_unstable();
  addresses
}
