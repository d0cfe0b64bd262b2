use {
  super::Gateway,
  std::{net::SocketAddr, time::Duration},
};

/// Maximum time that callers may cache a response; a host that shuts down still gets requests
/// for that long.
pub(super) const MAX_TIME_TO_LIVE: Duration = Duration::from_secs(2);
/// Where the weights of hosts differ, one response lists one host in this many.
const SAMPLE_DIVISOR: usize = 3;
/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Share of the capacity of all ready hosts that those which reach all targets must have for the others
/// not to be listed. Hosts that have lost their links can still pass requests on.
const MIN_REACHING_SHARE: f64 = 1.0 / 3.0;

/// A host that is ready for requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Host {
  /// Address at which callers reach it.
  pub callers: SocketAddr,
  /// Whether it has not lost its links to the targets of any service.
  pub reaches_targets: bool,
  /// Its capacity, in thousandths of a core.
  pub weight: u32,
}

/// The hosts to which callers should connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory {
  /// Addresses of hosts that are ready for requests.
  pub addresses: Vec<SocketAddr>,
  /// How long callers may cache the addresses.
  pub time_to_live: Duration,
}

impl Gateway {
  /// Returns the hosts to which a caller should connect; `None` when this host knows of none.
  pub fn directory(&self) -> Option<Directory> {
    let ready = self.is_ready();
    let state = self.lock();
    let mut hosts = state.ready_hosts(self.clock.since_boot());
    if ready {
      hosts.push(Host {
        callers: state.settings.callers,
        reaches_targets: state.links.lost().next().is_none(),
        weight: state.settings.weight,
      });
    }
    let time_to_live = MAX_TIME_TO_LIVE.min(state.settings.guarantees.directory_ttl);
    let addresses = sample_hosts(select(hosts), || rand::random_range(0.0..1.0));
    (!addresses.is_empty()).then_some(Directory {
      addresses,
      time_to_live,
    })
  }
}

/// Returns the addresses and weights of the hosts that may be listed: those that reach all targets, or
/// all hosts if too few do.
pub(super) fn select(hosts: Vec<Host>) -> Vec<(SocketAddr, u32)> {
  let weight = |is_counted: fn(&Host) -> bool| -> u64 {
    let counted = hosts.iter().filter(|host| is_counted(host));
    counted.map(|host| u64::from(host.weight)).sum()
  };
  let reaching = weight(|host| host.reaches_targets);
  let suffices = reaching as f64 >= MIN_REACHING_SHARE * weight(|_| true) as f64;
  let selected = hosts.iter().filter(|host| host.reaches_targets || !suffices);
  selected.map(|host| (host.callers, host.weight)).collect()
}

/// Chooses the hosts to list, so that each gets callers according to its weight.
///
/// Callers choose one of the addresses at random. Hosts of equal weight are all listed; otherwise
/// each response lists a random sample, in which hosts of larger weight appear more often.
pub(super) fn sample_hosts(
  mut hosts: Vec<(SocketAddr, u32)>,
  random: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
  hosts.sort_unstable();
  hosts.dedup_by_key(|(address, _)| *address);
  let have_equal_weights = hosts.windows(2).all(|pair| pair[0].1 == pair[1].1);
  let count = if have_equal_weights {
    hosts.len()
  } else {
    hosts.len().div_ceil(SAMPLE_DIVISOR)
  };
  let mut addresses = sample(hosts, count.min(MAX_ADDRESSES), random);
  addresses.sort_unstable();
  addresses
}

/// Returns a random sample of hosts, in which those of larger weight appear more often.
pub(super) fn sample(
  hosts: Vec<(SocketAddr, u32)>,
  count: usize,
  mut random: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
  // Weighted sampling without replacement (Efraimidis and Spirakis): the largest keys u^(1/w),
  // with u uniform in [0, 1) and w the weight.
  let sampling_key = |weight: u32, random: f64| random.powf(1.0 / f64::from(weight.max(1)));
  let mut ranked: Vec<(f64, SocketAddr)> = hosts
    .into_iter()
    .map(|(address, weight)| (sampling_key(weight, random()), address))
    .collect();
  ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
  ranked.truncate(count);
  ranked.into_iter().map(|(_, address)| address).collect()
}
