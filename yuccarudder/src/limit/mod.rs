//! Bounds on what one host holds for one client account.

use std::{
  collections::HashMap,
  sync::{Arc, Mutex, PoisonError},
};

/// Jobs in hand per client account.
#[derive(Clone, Debug, Default)]
pub struct Limits {
  in_hand: Arc<Mutex<HashMap<String, u64>>>,
}

impl Limits {
  /// Counts a job of an account, unless it has `max` in hand already.
  pub fn admit(&self, account: &str, max: u64) -> Option<Place> {
    let mut in_hand = self.in_hand.lock().unwrap_or_else(PoisonError::into_inner);
    let count = in_hand.entry(account.into()).or_default();
    if *count >= max {
      return None;
    }
    *count += 1;
    Some(Place {
      account: account.into(),
      limits: self.clone(),
    })
  }

  /// Returns the number of jobs in hand over all accounts.
  pub fn total(&self) -> u64 {
    let in_hand = self.in_hand.lock().unwrap_or_else(PoisonError::into_inner);
    in_hand.values().sum()
  }
}

/// One job's place in its account's limit, held until it is dropped.
#[derive(Debug)]
pub struct Place {
  account: String,
  limits: Limits,
}

impl Drop for Place {
  fn drop(&mut self) {
    let mut in_hand = self
      .limits
      .in_hand
      .lock()
      .unwrap_or_else(PoisonError::into_inner);
    if let Some(count) = in_hand.get_mut(&self.account) {
      *count -= 1;
      if *count == 0 {
        in_hand.remove(&self.account);
      }
    }
  }
}

#[cfg(test)]
mod tests;
