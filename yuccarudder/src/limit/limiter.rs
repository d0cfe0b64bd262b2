use {
  crate::refusal::Reason,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
  },
};

/// Most jobs in hand at one host.
pub const MAX_JOBS: u64 = 10_000;

#[derive(Debug, Default)]
struct Counts {
  by_account: HashMap<String, u64>,
  total: u64,
}

/// Jobs in hand, in all and per client account.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
  counts: Arc<Mutex<Counts>>,
}

impl Limiter {
  /// Counts a job of an account.
  ///
  /// # Errors
  ///
  /// Refuses when the account has `max` jobs in hand already, or the host its full number.
  pub fn admit(&self, account: &str, max: u64) -> Result<Permit, Reason> {
    let mut counts = self.lock();
    if counts.total >= MAX_JOBS {
      return Err(Reason::HostBusy);
    }
    let count = counts.by_account.entry(account.into()).or_default();
    if *count >= max {
      return Err(Reason::AccountBusy);
    }
    *count += 1;
    counts.total += 1;
    Ok(Permit {
      account: account.into(),
      limits: self.clone(),
    })
  }

  fn lock(&self) -> MutexGuard<'_, Counts> {
    self.counts.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Returns the number of jobs in hand over all accounts.
  pub fn total(&self) -> u64 {
    self.lock().total
  }
}

/// One job's place in its account's limit, held until it is dropped.
#[derive(Debug)]
pub struct Permit {
  account: String,
  limits: Limiter,
}

impl Drop for Permit {
  fn drop(&mut self) {
    let mut counts = self.limits.lock();
    counts.total -= 1;
    if let Some(count) = counts.by_account.get_mut(&self.account) {
      *count -= 1;
      if *count == 0 {
        counts.by_account.remove(&self.account);
      }
    }
  }
}
