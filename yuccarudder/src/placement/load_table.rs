use {
  super::Load,
  slotmap::{SecondaryMap, SlotMap, new_key_type},
  std::{collections::HashMap, mem, net::SocketAddr},
};

new_key_type! {
  /// Identifies an assignment in the table.
  pub struct AssignmentKey;
}

/// A request that this host has assigned to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
  /// Load that the request places on the target.
  pub load: Load,
  /// Fingerprint of the target process.
  pub target: u64,
}

/// The load on each target: that of this host's requests and that reported by other hosts.
///
/// Targets are identified by the fingerprint of their process.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
  /// KV cache tokens that the requests of this host are expected to need, by client account.
  account_tokens: HashMap<u64, u64>,
  /// The client accounts of assignments.
  accounts: SecondaryMap<AssignmentKey, u64>,
  /// Sums over the requests of this host, by target.
  local_totals: HashMap<u64, Load>,
  /// Loads reported by each other host, by target.
  peer_loads: HashMap<SocketAddr, HashMap<u64, Load>>,
  /// Sums over the other hosts, by target.
  peer_totals: HashMap<u64, Load>,
  assignments: SlotMap<AssignmentKey, Assignment>,
}

impl LoadTable {
  /// Adds an assignment and its load.
  pub fn add(&mut self, mut assignment: Assignment) -> AssignmentKey {
    assignment.load = assignment.load.bounded();
    *self.local_totals.entry(assignment.target).or_default() += assignment.load;
    self.assignments.insert(assignment)
  }

  /// Adds an assignment of a request of a client account and its load.
  pub fn add_for(&mut self, assignment: Assignment, account: Option<u64>) -> AssignmentKey {
    let key = self.add(assignment);
    if let Some(account) = account {
      self.accounts.insert(key, account);
      self.replace_account_tokens(key, 0, assignment.load.bounded().expected_tokens);
    }
    key
  }

  /// Returns the KV cache tokens that the requests of this host are expected to need, by client account.
  pub fn account_tokens(&self) -> impl Iterator<Item = (u64, u64)> {
    self.account_tokens.iter().map(|(account, tokens)| (*account, *tokens))
  }

  fn replace_account_tokens(&mut self, key: AssignmentKey, previous: u64, tokens: u64) {
    let Some(account) = self.accounts.get(key) else {
      return;
    };
    let total = self.account_tokens.entry(*account).or_default();
    *total = (*total + tokens).saturating_sub(previous);
    if *total == 0 {
      self.account_tokens.remove(account);
    }
  }

  /// Removes the loads reported by another host.
  pub fn remove_host(&mut self, host: SocketAddr) {
    for (target, load) in self.peer_loads.remove(&host).unwrap_or_default() {
      let total = self.peer_totals.entry(target).or_default();
      *total -= load;
      if *total == Load::default() {
        self.peer_totals.remove(&target);
      }
    }
  }

  /// Returns the load that all hosts together place on a target.
  pub fn total_load(&self, target: u64) -> Load {
    let mut load = self.local_load(target);
    load += self.peer_totals.get(&target).copied().unwrap_or_default();
    load
  }

  /// Returns the load that this host places on each target.
  pub fn local_loads(&self) -> HashMap<u64, Load> {
    self.local_totals.clone()
  }

  /// Returns the load that this host places on a target.
  pub fn local_load(&self, target: u64) -> Load {
    self.local_totals.get(&target).copied().unwrap_or_default()
  }

  /// Returns the load that another host places on a target.
  pub fn peer_load(&self, host: SocketAddr, target: u64) -> Load {
    let loads = self.peer_loads.get(&host);
    loads.and_then(|loads| loads.get(&target)).copied().unwrap_or_default()
  }

  /// Replaces the loads reported by another host.
  pub fn set_peer_loads(&mut self, host: SocketAddr, mut loads: HashMap<u64, Load>) {
    self.remove_host(host);
    loads.values_mut().for_each(|load| *load = load.bounded());
    for (target, load) in &loads {
      *self.peer_totals.entry(*target).or_default() += *load;
    }
    self.peer_loads.insert(host, loads);
  }

  /// Returns the number of requests that this host has assigned.
  pub fn len(&self) -> usize {
    self.assignments.len()
  }

  /// Returns whether this host has no request at any target.
  pub fn is_empty(&self) -> bool {
    self.assignments.is_empty()
  }

  /// Removes an assignment and its load.
  pub fn remove(&mut self, key: AssignmentKey) {
    if let Some(assignment) = self.assignments.remove(key) {
      self.subtract(&assignment);
      self.replace_account_tokens(key, assignment.load.expected_tokens, 0);
      self.accounts.remove(key);
    }
  }

  /// Subtracts the load of a removed assignment from the sum of its target.
  fn subtract(&mut self, assignment: &Assignment) {
    let Some(total) = self.local_totals.get_mut(&assignment.target) else {
      return;
    };
    *total -= assignment.load;
    if *total == Load::default() {
      self.local_totals.remove(&assignment.target);
    }
  }

  /// Replaces the load of an assignment.
  pub fn update(&mut self, key: AssignmentKey, load: Load) {
    let Some(assignment) = self.assignments.get_mut(key) else {
      return;
    };
    let load = load.bounded();
    let previous = mem::replace(&mut assignment.load, load);
    let total = self.local_totals.entry(assignment.target).or_default();
    *total += load;
    *total -= previous;
    self.replace_account_tokens(key, previous.expected_tokens, load.expected_tokens);
  }
}
