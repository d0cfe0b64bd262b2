use {
  crate::target,
  std::{
    collections::HashMap,
    hash::Hash,
    sync::{Arc, Mutex, PoisonError},
  },
};

/// Capacity of a bucket, in retries.
const MAX_BALANCE: f64 = 10.0;
/// Number of buckets at which full ones are dropped before another is added.
const MAX_BUCKETS: usize = 16_384;

/// Token buckets that jobs fill and retries drain; a key without a balance has a full bucket.
#[derive(Clone, Debug)]
struct Buckets<K> {
  balances: HashMap<K, f64>,
}

impl<K: Clone + Eq + Hash> Buckets<K> {
  fn deposit(&mut self, key: &K, share: f64) {
    if let Some(balance) = self.balances.get_mut(key) {
      *balance = (*balance + share).min(MAX_BALANCE);
    }
  }

  fn has_retry(&self, key: &K) -> bool {
    self.balances.get(key).is_none_or(|balance| *balance >= 1.0)
  }

  fn withdraw(&mut self, key: &K) {
    if self.balances.len() >= MAX_BUCKETS {
      self.balances.retain(|_, balance| *balance < MAX_BALANCE);
    }
    *self.balances.entry(key.clone()).or_insert(MAX_BALANCE) -= 1.0;
  }
}

impl<K> Default for Buckets<K> {
  fn default() -> Self {
    Self {
      balances: HashMap::new(),
    }
  }
}

#[derive(Debug, Default)]
struct State {
  accounts: Buckets<String>,
  targets: Buckets<target::Key>,
}

/// Token buckets that limit retries, per client account and per failing target.
///
/// Each job deposits a fraction of a retry, so retries multiply the load by at most one plus
/// that fraction, however many jobs fail.
#[derive(Clone, Debug, Default)]
pub struct RetryBuckets {
  state: Arc<Mutex<State>>,
}

impl RetryBuckets {
  /// Deposits `percent` hundredths of a retry for a job on its first attempt at a target.
  pub fn deposit(&self, account: &str, target: target::Key, percent: u64) {
    let share = percent as f64 / 100.0;
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.accounts.deposit(&account.into(), share);
    state.targets.deposit(&target, share);
  }

  /// Takes a retry after a failure at a target from the buckets of the account and the target
  /// if both hold one; returns whether they did.
  pub fn try_withdraw(&self, account: &str, target: target::Key) -> bool {
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    let account = account.to_owned();
    if !state.accounts.has_retry(&account) || !state.targets.has_retry(&target) {
      return false;
    }
    state.accounts.withdraw(&account);
    state.targets.withdraw(&target);
    true
  }
}
