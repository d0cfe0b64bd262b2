use {
  crate::refusal::Reason,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
  },
};

/// Largest number of concurrent jobs on one host, over all client accounts.
pub const MAX_JOBS: u64 = 10_000;

#[derive(Debug, Default)]
struct Counts {
  by_account: HashMap<String, u64>,
  total: u64,
}

/// A limiter of concurrent jobs, in total and per client account.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
  counts: Arc<Mutex<Counts>>,
}

impl Limiter {
  /// Admits a job of an account and counts it until the permit is dropped.
  ///
  /// # Errors
  ///
  /// Refuses when the account already has `max` concurrent jobs, or the host `MAX_JOBS`.
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
      limiter: self.clone(),
    })
  }

  fn lock(&self) -> MutexGuard<'_, Counts> {
    self.counts.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Returns the number of concurrent jobs over all accounts.
  pub fn total(&self) -> u64 {
    self.lock().total
  }
}

/// An admitted job, counted until this is dropped.
#[derive(Debug)]
pub struct Permit {
  account: String,
  limiter: Limiter,
}

impl Drop for Permit {
  fn drop(&mut self) {
    let mut counts = self.limiter.lock();
    counts.total -= 1;
    if let Some(count) = counts.by_account.get_mut(&self.account) {
      *count -= 1;
      if *count == 0 {
        counts.by_account.remove(&self.account);
      }
    }
  }
}
