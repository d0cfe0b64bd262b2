use {
  crate::owner::Timing,
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
  /// When each place was granted.
  places: HashMap<u64, Instant>,
  /// When ownership was last exercised.
  used: Instant,
}

impl Account {
  /// Returns the most jobs that the target can have.
  fn jobs(&self, reported: u64, settled: Duration, now: Instant) -> u64 {
    let is_young = |granted: &&Instant| now.saturating_duration_since(**granted) < settled;
    let young = self.places.values().filter(is_young).count() as u64;
    let old = self.places.len() as u64 - young;
    young + reported.min(old + self.foreign)
  }
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
  /// Jobs that the target reports.
  pub reported: u64,
  /// The target.
  pub target: SocketAddr,
}

/// The places that an owner has granted at cold targets.
#[derive(Clone, Debug, Default)]
pub struct Grants {
  accounts: HashMap<Process, Account>,
  next: u64,
}

impl Grants {
  /// Grants a place, unless the target has all that it bears.
  ///
  /// `reported` is the number of jobs that the target itself reports: when an
  /// account is opened it covers all jobs of earlier owners, whose number only
  /// falls. Once a grant is settled its job shows in the report or has ended, so
  /// places whose holders died come back. After a pause of `terms.takeover_wait()` another
  /// host may have been the owner.
  pub fn grant(&mut self, request: Request, terms: &Timing, now: Instant) -> Option<Grant> {
    let Request {
      bears,
      incarnation,
      reported,
      target,
    } = request;
    let recent =
      |account: &Account| now.saturating_duration_since(account.used) < terms.takeover_wait();
    self.accounts.retain(|_, account| recent(account));
    let account = self.accounts.entry((target, incarnation)).or_insert_with(|| Account {
      foreign: reported,
      places: HashMap::new(),
      used: now,
    });
    account.foreign = account.foreign.min(reported);
    account.used = now;
    if account.jobs(reported, terms.settle_time(), now) >= bears {
      return None;
    }
    self.next += 1;
    account.places.insert(self.next, now);
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
