use {
  super::{Listing, State},
  siphasher::sip::SipHasher13,
  slotmap::{SlotMap, new_key_type},
  std::{
    collections::{HashMap, HashSet},
    hash::{Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How long a target whose entry lapsed with the platform away is still taken for alive;
/// the platform's users give live targets about this long to come back.
const LAPSE: Duration = Duration::from_secs(2);
/// How long other hosts are told of a target that is gone; by then they have read it.
const TOLD: Duration = Duration::from_secs(3);
/// How long a target that is gone is remembered, for the requests that it still has.
const MEMORY: Duration = Duration::from_secs(60);

new_key_type! {
  /// Names one process of a target.
  pub struct Key;
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
  /// Its entry is gone.
  Removed(Instant),
  /// Its entry lapsed while the platform was away.
  Lapsed(Instant),
  /// It announced that it leaves.
  Leaving,
  /// It takes work.
  Serving,
}

/// One process of a target.
#[derive(Clone, Debug)]
pub struct Target {
  /// When its cold start ends, as it last said.
  pub cold_until: Option<Instant>,
  /// Names the process among all hosts.
  pub fingerprint: u64,
  /// The name under which it is listed.
  pub id: Arc<str>,
  /// What it last published.
  pub listing: Listing,
  /// When it will be gone, if it said so.
  pub leaves_at: Option<Instant>,
  /// When this host learned that it leaves.
  pub leaving_since: Option<Instant>,
  revision: u64,
  /// Whether it takes new work.
  pub status: Status,
}

/// A process that leaves, as hosts tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
  /// The process.
  pub fingerprint: u64,
  /// Time until it is gone, if it is known.
  pub leaves_in: Option<Duration>,
  /// The platform's revision that told of it.
  pub revision: u64,
}

fn cold_until(listing: &Listing, now: Instant) -> Option<Instant> {
  (!listing.warmup_remaining.is_zero()).then(|| now + listing.warmup_remaining)
}

/// Names a process of a target among all hosts.
pub fn fingerprint(id: &str, started_ms: Option<u64>) -> u64 {
  let mut hasher = SipHasher13::new();
  id.hash(&mut hasher);
  started_ms.hash(&mut hasher);
  hasher.finish()
}

/// The targets of all services.
#[derive(Clone, Debug, Default)]
pub struct Roster {
  evacuated: HashSet<String>,
  keys: HashMap<Arc<str>, Key>,
  targets: SlotMap<Key, Target>,
}

impl Roster {
  /// Returns the targets that are listed or still have requests.
  pub fn all(&self) -> impl Iterator<Item = (Key, &Target)> {
    self.targets.iter()
  }

  /// Records that an entry was removed at a revision; returns a target that leaves by it.
  ///
  /// `recovering` tells that the platform was away lately, so the entry may have lapsed.
  pub fn expire(&mut self, id: &str, revision: u64, recovering: bool, now: Instant) -> Option<Key> {
    let key = *self.keys.get(id)?;
    let target = &mut self.targets[key];
    if revision <= target.revision {
      return None;
    }
    target.revision = revision;
    match target.status {
      Status::Serving if recovering => {
        target.status = Status::Lapsed(now + LAPSE);
        None
      }
      Status::Lapsed(_) | Status::Removed(_) => None,
      Status::Leaving | Status::Serving => self.remove(key, now),
    }
  }

  /// Records that a data centre is taken out of service or back.
  pub fn evacuate(&mut self, data_centre: &str, out: bool) {
    if out {
      self.evacuated.insert(data_centre.into());
    } else {
      self.evacuated.remove(data_centre);
    }
  }

  /// Records that a target itself says that it leaves, and when it will be gone; returns
  /// whether that is news.
  pub fn mark_leaving(&mut self, key: Key, leaves_at: Instant, now: Instant) -> bool {
    let Some(target) = self.targets.get_mut(key) else {
      return false;
    };
    target.leaves_at = Some(leaves_at);
    if !matches!(target.status, Status::Serving | Status::Lapsed(_)) {
      return false;
    }
    target.status = Status::Leaving;
    target.leaving_since = Some(now);
    // What the platform knew until now is older.
    target.revision += 1;
    true
  }

  /// Returns a target.
  pub fn get(&self, key: Key) -> Option<&Target> {
    self.targets.get(key)
  }

  /// Returns the data centres that are out of service.
  pub fn evacuated(&self) -> impl Iterator<Item = &str> {
    self.evacuated.iter().map(String::as_str)
  }

  /// Returns whether a target may get new requests.
  pub fn is_accepting(&self, key: Key) -> bool {
    self.targets.get(key).is_some_and(|target| self.takes_work(target))
  }

  /// Records that another host knows of a process that leaves; returns the process if that
  /// is news.
  pub fn merge_departure(&mut self, told: &Departure, now: Instant) -> Option<Key> {
    // A process whose entry lapsed and came back is remembered as gone, too.
    let is_meant = |target: &Target| {
      target.fingerprint == told.fingerprint && !matches!(target.status, Status::Removed(_))
    };
    let (key, target) = self.targets.iter_mut().find(|(_, target)| is_meant(target))?;
    let serving = matches!(target.status, Status::Serving | Status::Lapsed(_));
    let news = serving && target.revision < told.revision;
    if news {
      target.status = Status::Leaving;
      target.leaving_since = Some(now);
      target.revision = told.revision;
    }
    if news || target.status == Status::Leaving {
      target.leaves_at = target.leaves_at.or(told.leaves_in.map(|time| now + time));
    }
    news.then_some(key)
  }

  /// Returns the processes that leave or have left lately, of which this host knows for no
  /// longer than `known`.
  pub fn departures(&self, known: Duration, now: Instant) -> impl Iterator<Item = Departure> {
    let told = move |target: &&Target| match target.status {
      Status::Removed(forgotten) => now + MEMORY < forgotten + TOLD,
      Status::Leaving => true,
      Status::Lapsed(_) | Status::Serving => false,
    };
    let fresh = move |target: &&Target| {
      let since = target.leaving_since;
      since.is_some_and(|since| now.saturating_duration_since(since) <= known)
    };
    let targets = self.targets.values().filter(told).filter(fresh);
    targets.map(move |target| Departure {
      fingerprint: target.fingerprint,
      leaves_in: target.leaves_at.map(|at| at.saturating_duration_since(now)),
      revision: target.revision,
    })
  }

  /// Returns the targets of a service that may get new requests.
  pub fn accepting<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Target)> {
    self
      .targets
      .iter()
      .filter(move |(_, target)| target.listing.service == service && self.takes_work(target))
  }

  /// Records an entry; `None` is one that cannot be read. Returns a target that leaves by it.
  pub fn put(
    &mut self,
    id: &str,
    revision: u64,
    listing: Option<Listing>,
    now: Instant,
  ) -> Option<Key> {
    let known = self.keys.get(id).copied();
    let newest = match known {
      Some(key) => Some(self.targets[key].revision),
      None => self.removed_at(id),
    };
    if newest.is_some_and(|newest| revision <= newest) {
      return None;
    }
    let Some(listing) = listing else {
      return known.and_then(|key| self.remove(key, now));
    };
    let status = match listing.state {
      State::Available => Status::Serving,
      State::Draining => Status::Leaving,
    };
    let print = fingerprint(id, listing.started_ms);
    if let Some(key) = known {
      let target = &mut self.targets[key];
      if target.fingerprint == print && target.listing.address == listing.address {
        let leaves = status == Status::Leaving && target.status != Status::Leaving;
        target.status = status;
        target.cold_until = cold_until(&listing, now);
        target.leaving_since = match status {
          Status::Leaving => target.leaving_since.or(Some(now)),
          _ => None,
        };
        target.listing = listing;
        target.revision = revision;
        return leaves.then_some(key);
      }
      self.remove(key, now);
    }
    let id: Arc<str> = id.into();
    let key = self.targets.insert(Target {
      cold_until: cold_until(&listing, now),
      fingerprint: print,
      id: Arc::clone(&id),
      leaves_at: None,
      leaving_since: (status == Status::Leaving).then_some(now),
      listing,
      revision,
      status,
    });
    self.keys.insert(id, key);
    None
  }

  /// Returns the revision of the last removal of an entry that is still remembered; lists
  /// that are older still have the entry.
  fn removed_at(&self, id: &str) -> Option<u64> {
    let removed = self.targets.values().filter(|target| &*target.id == id);
    removed.map(|target| target.revision).max()
  }

  fn remove(&mut self, key: Key, now: Instant) -> Option<Key> {
    let target = &mut self.targets[key];
    let leaves = matches!(target.status, Status::Serving | Status::Lapsed(_));
    target.status = Status::Removed(now + MEMORY);
    target.leaving_since = target.leaving_since.or(Some(now));
    self.keys.remove(&target.id);
    leaves.then_some(key)
  }

  /// Applies a whole list taken at a revision; returns the targets that leave by it.
  pub fn apply_snapshot(
    &mut self,
    entries: Vec<(Arc<str>, u64, Option<Listing>)>,
    revision: u64,
    recovering: bool,
    now: Instant,
  ) -> Vec<Key> {
    let listed: HashSet<Arc<str>> = entries.iter().map(|(id, ..)| Arc::clone(id)).collect();
    let missing: Vec<Arc<str>> =
      self.keys.keys().filter(|id| !listed.contains(*id)).cloned().collect();
    let expired = missing.iter().filter_map(|id| self.expire(id, revision, recovering, now));
    let mut leaving: Vec<Key> = expired.collect();
    for (id, revision, listing) in entries {
      leaving.extend(self.put(&id, revision, listing, now));
    }
    leaving
  }

  /// Records when a target that leaves will be gone.
  pub fn set_leaves_at(&mut self, key: Key, at: Instant) {
    if let Some(target) = self.targets.get_mut(key) {
      target.leaves_at = Some(at);
    }
  }

  /// Sets which data centres are out of service.
  pub fn set_evacuated(&mut self, data_centres: impl IntoIterator<Item = String>) {
    self.evacuated = data_centres.into_iter().collect();
  }

  fn takes_work(&self, target: &Target) -> bool {
    let status = matches!(target.status, Status::Serving | Status::Lapsed(_));
    status && !self.evacuated.contains(&target.listing.data_centre)
  }

  /// Ends lapses that lasted too long; returns the targets that are gone by it.
  pub fn tick(&mut self, now: Instant) -> Vec<Key> {
    let lapsed = |target: &Target| matches!(target.status, Status::Lapsed(at) if at <= now);
    let keys: Vec<Key> =
      self.targets.iter().filter(|(_, target)| lapsed(target)).map(|(key, _)| key).collect();
    let gone = keys.into_iter().filter_map(|key| self.remove(key, now)).collect();
    self
      .targets
      .retain(|_, target| !matches!(target.status, Status::Removed(at) if at <= now));
    gone
  }
}
