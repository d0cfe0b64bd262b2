use {
  super::Load,
  slotmap::{SlotMap, new_key_type},
  std::{collections::HashMap, mem, net::SocketAddr},
};

new_key_type! {
  /// Names a request that this host has at a target.
  pub struct AssignmentKey;
}

/// One request at its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
  /// What it takes there.
  pub load: Load,
  /// The process of the target.
  pub target: u64,
}

/// The requests of this host and the loads that other hosts tell of.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
  /// The sums over this host's requests, by target.
  own_total: HashMap<u64, Load>,
  peers: HashMap<SocketAddr, HashMap<u64, Load>>,
  /// The sums over the other hosts, by target.
  peers_total: HashMap<u64, Load>,
  runs: SlotMap<AssignmentKey, Assignment>,
}

impl LoadTable {
  /// Adds a request.
  pub fn add(&mut self, run: Assignment) -> AssignmentKey {
    *self.own_total.entry(run.target).or_default() += run.load;
    self.runs.insert(run)
  }

  /// Forgets the loads of a host that is gone.
  pub fn remove_host(&mut self, host: SocketAddr) {
    for (target, load) in self.peers.remove(&host).unwrap_or_default() {
      let total = self.peers_total.entry(target).or_default();
      *total -= load;
      if total.requests == 0 {
        self.peers_total.remove(&target);
      }
    }
  }

  /// Returns the load of a target from all hosts.
  pub fn total_load(&self, target: u64) -> Load {
    let mut load = self.local_load(target);
    load += self.peers_total.get(&target).copied().unwrap_or_default();
    load
  }

  /// Returns the loads of this host by target.
  pub fn local_loads(&self) -> HashMap<u64, Load> {
    self.own_total.clone()
  }

  /// Returns the load of a target from this host.
  pub fn local_load(&self, target: u64) -> Load {
    self.own_total.get(&target).copied().unwrap_or_default()
  }

  /// Returns the load that one other host has at a target.
  pub fn peer_load(&self, host: SocketAddr, target: u64) -> Load {
    let loads = self.peers.get(&host);
    loads.and_then(|loads| loads.get(&target)).copied().unwrap_or_default()
  }

  /// Takes in the loads that another host tells of.
  pub fn set_peer_loads(&mut self, host: SocketAddr, loads: HashMap<u64, Load>) {
    self.remove_host(host);
    for (target, load) in &loads {
      *self.peers_total.entry(*target).or_default() += *load;
    }
    self.peers.insert(host, loads);
  }

  /// Returns the number of this host's requests.
  pub fn len(&self) -> usize {
    self.runs.len()
  }

  /// Returns whether this host has no request anywhere.
  pub fn is_empty(&self) -> bool {
    self.runs.is_empty()
  }

  /// Removes a request.
  pub fn remove(&mut self, key: AssignmentKey) {
    if let Some(run) = self.runs.remove(key) {
      self.take_off(&run);
    }
  }

  fn take_off(&mut self, run: &Assignment) {
    let Some(total) = self.own_total.get_mut(&run.target) else {
      return;
    };
    *total -= run.load;
    if *total == Load::default() {
      self.own_total.remove(&run.target);
    }
  }

  /// Records what a request takes now.
  pub fn update(&mut self, key: AssignmentKey, load: Load) {
    let Some(run) = self.runs.get_mut(key) else {
      return;
    };
    let before = mem::replace(&mut run.load, load);
    let total = self.own_total.entry(run.target).or_default();
    *total += load;
    *total -= before;
  }
}
