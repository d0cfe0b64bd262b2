use {
  super::Message,
  std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    net::SocketAddr,
  },
};

/// KV cache tokens in the unit in which messages state uses.
const UNIT: u64 = 256;
/// Maximum number of accounts in a heartbeat.
const MAX_MESSAGES: usize = 64;
/// Maximum number of accounts of which the use through a host is kept.
const MAX_ACCOUNTS: usize = 256;
/// Maximum number of other hosts whose uses are kept.
const MAX_HOSTS: usize = 1024;
/// Largest use through a host that counts, in units; more is a mistake.
const MAX_UNITS: u32 = 1 << 24;
/// Share of its last told use by which a use must change to be told again.
const MIN_CHANGE: f64 = 0.125;
/// Share of the memory in use that is divided. Memory that is full is in use by those that got it; the rest is what
/// those that use less than their fair part can expect to get next.
const DIVIDED_SHARE: f64 = 0.9;

/// What each client account uses, through this host and the others.
#[derive(Clone, Debug, Default)]
pub struct Table {
  /// KV cache tokens in use through this host.
  local: HashMap<u64, u64>,
  /// Number of the last heartbeat.
  heartbeat: u64,
  /// Uses in units as last told, with the number of the heartbeat.
  told: HashMap<u64, (u32, u64)>,
  /// Uses in units that the other hosts told.
  peers: HashMap<SocketAddr, HashMap<u64, u32>>,
  /// Sums over the other hosts, in units.
  peer_totals: HashMap<u64, u64>,
}

fn units(tokens: u64) -> u32 {
  u32::try_from(tokens.div_ceil(UNIT)).unwrap_or(MAX_UNITS).min(MAX_UNITS)
}

/// Returns the max-min fair part: accounts that use less keep what they use, and those that use more get this much
/// each, so that all together have `divided`. It is infinite if they use less than that.
pub fn fair_part(uses: &[u64], divided: f64) -> f64 {
  let mut uses = uses.to_vec();
  uses.sort_unstable();
  let mut left = divided;
  for (index, used) in uses.iter().enumerate() {
    let part = left / (uses.len() - index) as f64;
    if part <= *used as f64 {
      return part;
    }
    left -= *used as f64;
  }
  f64::INFINITY
}

impl Table {
  /// Replaces what the accounts use through this host; the largest uses count if there are too many.
  pub fn set_local(&mut self, uses: impl IntoIterator<Item = (u64, u64)>) {
    let mut uses: Vec<(u64, u64)> = uses.into_iter().filter(|(_, tokens)| *tokens > 0).collect();
    uses.sort_unstable_by_key(|(account, tokens)| (Reverse(*tokens), *account));
    uses.truncate(MAX_ACCOUNTS);
    self.local = uses.into_iter().collect();
  }

  /// Returns what the next heartbeat tells: the uses that changed, the largest first, and the one that was told
  /// the longest ago, as heartbeats are lost.
  pub fn take_news(&mut self) -> Vec<Message> {
    self.heartbeat += 1;
    let accounts: HashSet<u64> = self.local.keys().chain(self.told.keys()).copied().collect();
    let oldest = self.told.iter().min_by_key(|(account, (_, at))| (*at, **account));
    let oldest = oldest.map(|(account, _)| *account);
    let mut news = Vec::new();
    for account in accounts {
      let now = units(self.local.get(&account).copied().unwrap_or_default());
      let told = self.told.get(&account).map_or(0, |(told, _)| *told);
      let change = f64::from(now.abs_diff(told));
      let is_changed = now != told && (now == 0 || change >= MIN_CHANGE * f64::from(told));
      if is_changed || oldest == Some(account) {
        news.push((now, told, account));
      }
    }
    news.sort_unstable_by_key(|(now, told, account)| (Reverse(*now), Reverse(*told), *account));
    news.truncate(MAX_MESSAGES);
    for (now, told, account) in &news {
      if *now == 0 && *told == 0 {
        self.told.remove(account);
      } else {
        self.told.insert(*account, (*now, self.heartbeat));
      }
    }
    let messages = news.into_iter().map(|(tokens, _, account)| Message { account, tokens });
    messages.collect()
  }

  /// Merges the changed uses that another host told.
  pub fn merge(&mut self, host: SocketAddr, messages: &[Message]) {
    if messages.is_empty() || (!self.peers.contains_key(&host) && self.peers.len() >= MAX_HOSTS) {
      return;
    }
    let uses = self.peers.entry(host).or_default();
    for message in messages.iter().take(MAX_MESSAGES) {
      if !uses.contains_key(&message.account) && uses.len() >= MAX_ACCOUNTS {
        continue;
      }
      let tokens = message.tokens.min(MAX_UNITS);
      let before = uses.insert(message.account, tokens).unwrap_or_default();
      if tokens == 0 {
        uses.remove(&message.account);
      }
      let total = self.peer_totals.entry(message.account).or_default();
      *total = (*total + u64::from(tokens)).saturating_sub(before.into());
      if *total == 0 {
        self.peer_totals.remove(&message.account);
      }
    }
  }

  /// Removes what another host told.
  pub fn remove_host(&mut self, host: SocketAddr) {
    for (account, tokens) in self.peers.remove(&host).unwrap_or_default() {
      if let Some(total) = self.peer_totals.get_mut(&account) {
        *total = total.saturating_sub(tokens.into());
        if *total == 0 {
          self.peer_totals.remove(&account);
        }
      }
    }
  }

  /// Returns the KV cache tokens that an account uses through all hosts.
  pub fn used(&self, account: u64) -> u64 {
    let others = self.peer_totals.get(&account).copied().unwrap_or_default();
    self.local.get(&account).copied().unwrap_or_default() + others * UNIT
  }

  /// Returns whether an account uses more than its fair part of a capacity in KV cache tokens.
  pub fn is_over_share(&self, account: u64, capacity_tokens: u64) -> bool {
    let accounts: HashSet<u64> =
      self.local.keys().chain(self.peer_totals.keys()).copied().collect();
    let uses: Vec<u64> = accounts.into_iter().map(|account| self.used(account)).collect();
    let in_use = uses.iter().sum::<u64>().min(capacity_tokens);
    self.used(account) as f64 > fair_part(&uses, DIVIDED_SHARE * in_use as f64)
  }
}
