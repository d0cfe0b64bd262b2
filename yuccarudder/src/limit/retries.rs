use {
  crate::target,
  std::{
    collections::HashMap,
    hash::Hash,
    sync::{Arc, Mutex, PoisonError},
  },
};

/// Retries that may be saved up.
const BURST: f64 = 10.0;
/// Budgets that are kept; beyond it full ones are forgotten.
const MAX_BUDGETS: usize = 16_384;

/// Balances that grow with every job and shrink with every retry.
#[derive(Clone, Debug)]
struct Budgets<K> {
  balances: HashMap<K, f64>,
}

impl<K: Clone + Eq + Hash> Budgets<K> {
  fn deposit(&mut self, key: &K, share: f64) {
    if let Some(balance) = self.balances.get_mut(key) {
      *balance = (*balance + share).min(BURST);
    }
  }

  fn has(&self, key: &K) -> bool {
    self.balances.get(key).is_none_or(|balance| *balance >= 1.0)
  }

  fn spend(&mut self, key: &K) {
    if self.balances.len() >= MAX_BUDGETS {
      self.balances.retain(|_, balance| *balance < BURST);
    }
    *self.balances.entry(key.clone()).or_insert(BURST) -= 1.0;
  }
}

impl<K> Default for Budgets<K> {
  fn default() -> Self {
    Self {
      balances: HashMap::new(),
    }
  }
}

#[derive(Debug, Default)]
struct State {
  accounts: Budgets<String>,
  targets: Budgets<target::Key>,
}

/// Budgets for sending jobs again, per client account and per failing target.
///
/// Each job adds a share of a retry; so a fault multiplies load by at most one
/// plus that share, however many jobs fail.
#[derive(Clone, Debug, Default)]
pub struct RetryBuckets {
  state: Arc<Mutex<State>>,
}

impl RetryBuckets {
  /// Records a job that is sent to a target for the first time.
  pub fn deposit(&self, account: &str, target: target::Key, percent: u64) {
    let share = percent as f64 / 100.0;
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.accounts.deposit(&account.into(), share);
    state.targets.deposit(&target, share);
  }

  /// Takes a retry after a failure at a target, if both budgets have one.
  pub fn try_withdraw(&self, account: &str, target: target::Key) -> bool {
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    let account = account.to_owned();
    if !state.accounts.has(&account) || !state.targets.has(&target) {
      return false;
    }
    state.accounts.spend(&account);
    state.targets.spend(&target);
    true
  }
}
