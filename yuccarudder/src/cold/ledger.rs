use {
  serde::{Deserialize, Serialize},
  std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Names one granted place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Grant {
  /// The incarnation of the target.
  pub incarnation: u64,
  /// Distinguishes the places at one target.
  pub number: u64,
  /// The target.
  pub target: SocketAddr,
}

/// What an owner knows of one process of a cold target.
#[derive(Clone, Debug)]
struct Account {
  /// Most jobs there that may come from grants of an earlier owner.
  foreign: u64,
  places: HashMap<u64, Instant>,
  /// When ownership was last exercised.
  used: Instant,
}

/// One process of a target. A late request for an earlier one changes nothing here.
type Process = (SocketAddr, u64);

/// A request for a place at a cold target.
#[derive(Clone, Copy, Debug)]
pub struct Request {
  /// Most jobs that the target bears.
  pub bears: u64,
  /// The incarnation of the target.
  pub incarnation: u64,
  /// Longest time of a job.
  pub life: Duration,
  /// Jobs that the target reports.
  pub reported: u64,
  /// The target.
  pub target: SocketAddr,
}

/// The places that an owner has granted at cold targets.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
  accounts: HashMap<Process, Account>,
  next: u64,
}

impl Ledger {
  /// Grants a place, unless the target has all that it bears.
  ///
  /// `reported` is the number of jobs that the target itself reports: when an
  /// account is opened it covers all jobs of earlier owners, whose number only
  /// falls. After a pause of `wait` another host may have been the owner.
  pub fn grant(&mut self, request: Request, wait: Duration, now: Instant) -> Option<Grant> {
    let Request {
      bears,
      incarnation,
      life,
      reported,
      target,
    } = request;
    let recent = |account: &Account| now.saturating_duration_since(account.used) < wait;
    self.accounts.retain(|_, account| {
      account.places.retain(|_, until| now < *until);
      !account.places.is_empty() || recent(account)
    });
    let account = self.accounts.entry((target, incarnation)).or_insert_with(|| Account {
      foreign: reported,
      places: HashMap::new(),
      used: now,
    });
    if !recent(account) {
      account.foreign = reported;
    }
    account.foreign = account.foreign.min(reported);
    account.used = now;
    if account.places.len() as u64 + account.foreign >= bears {
      return None;
    }
    self.next += 1;
    account.places.insert(self.next, now + life);
    Some(Grant {
      incarnation,
      number: self.next,
      target,
    })
  }

  /// Takes a place back after its job ended.
  pub fn release(&mut self, grant: Grant) {
    if let Some(account) = self.accounts.get_mut(&(grant.target, grant.incarnation)) {
      account.places.remove(&grant.number);
    }
  }
}
