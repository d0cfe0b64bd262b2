use std::{
  collections::HashMap,
  time::{Duration, Instant},
};

/// Lines that one part may write in a burst.
const BURST: f64 = 400.0;
/// Lines a second that one part may write for long: about ten for each request that a
/// host of a quarter of a core carries.
const LINES_PER_S: f64 = 200.0;
/// Parts beyond which all further ones share one budget.
const MAX_PARTS: usize = 64;
const OTHER: &str = "other";

#[derive(Clone, Copy, Debug)]
struct Account {
  balance: f64,
  dropped: u64,
  seen: Instant,
}

/// What each part of the program may write.
#[derive(Clone, Debug, Default)]
pub struct Budget {
  parts: HashMap<String, Account>,
}

impl Budget {
  /// Returns whether a part may write a line; if so, with the number of its lines that
  /// were dropped since the last one.
  pub fn spend(&mut self, part: &str, now: Instant) -> Option<u64> {
    let known = self.parts.contains_key(part) || self.parts.len() < MAX_PARTS;
    let part = if known { part } else { OTHER };
    let account = self.parts.entry(part.to_owned()).or_insert(Account {
      balance: BURST,
      dropped: 0,
      seen: now,
    });
    let elapsed: Duration = now.saturating_duration_since(account.seen);
    account.balance = (account.balance + LINES_PER_S * elapsed.as_secs_f64()).min(BURST);
    account.seen = now;
    if account.balance < 1.0 {
      account.dropped += 1;
      return None;
    }
    account.balance -= 1.0;
    Some(std::mem::take(&mut account.dropped))
  }
}
