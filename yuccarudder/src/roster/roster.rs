use {
  super::{Listing, State},
  crate::{reader::Version, span},
  siphasher::sip::SipHasher13,
  slotmap::{SlotMap, new_key_type},
  std::{
    collections::{HashMap, HashSet},
    hash::{Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// How long a target counts as alive after its entry lapsed while the platform was
/// unavailable; users of the platform allow a live target about this long to register again.
const LAPSE_GRACE: Duration = Duration::from_secs(2);
/// How long a removed target is reported to other hosts; by then they have read of the removal
/// from the platform.
const GOSSIP_PERIOD: Duration = Duration::from_secs(3);
/// How long a removed target is kept, for the requests that it still serves.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

new_key_type! {
  /// The key of one process of a target on this host.
  pub struct Key;
}

/// The status of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
  /// Its entry was removed; the target is kept until the given time.
  Removed(Instant),
  /// Its entry lapsed while the platform was unavailable; it counts as alive until the given
  /// time.
  Lapsed(Instant),
  /// It is about to leave and accepts no new requests.
  Leaving,
  /// It accepts new requests.
  Serving,
}

/// One process of a target.
#[derive(Clone, Debug)]
pub struct Target {
  /// When this host learned that it accepts requests, or that it became cold or warm; `None` if
  /// it was listed before this host read the targets.
  changed_at: Option<Instant>,
  /// When its cold start ends, by its last entry; `None` when it is warm.
  pub cold_until: Option<Instant>,
  /// Hash that identifies the process on all hosts.
  pub fingerprint: u64,
  /// The ID of its entry.
  pub id: Arc<str>,
  /// The entry that it last published.
  pub listing: Listing,
  /// When its process will stop, if known.
  pub leaves_at: Option<Instant>,
  /// When this host learned that it is leaving or was removed.
  pub leaving_since: Option<Instant>,
  /// Whether a response of the process itself stated that it is leaving. Such a process does not
  /// return to service, whatever the platform lists.
  states_departure: bool,
  /// Whether the last entry may have been written before the platform was restored. It then does
  /// not show that the process is alive.
  may_be_restored: bool,
  /// The newest entry that was ignored because it does not bring the process back, and when it
  /// was read.
  ignored: Option<(Version, Instant)>,
  /// Whether it accepts new requests.
  pub status: Status,
  /// The platform's state of the last change.
  version: Version,
}

/// A leaving process of a target, as hosts report it to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
  /// Hash that identifies the process on all hosts.
  pub fingerprint: u64,
  /// Time until the process stops, if known.
  pub leaves_in: Option<Duration>,
  /// Whether the process itself stated it, which no entry of the platform overrides.
  pub is_own_statement: bool,
  /// The platform's state that announced it.
  pub version: Version,
}

impl Target {
  /// Returns whether it is in its cold start.
  pub fn is_cold(&self, now: Instant) -> bool {
    self.cold_until.is_some_and(|until| now < until)
  }

  fn is_in_service(&self) -> bool {
    matches!(self.status, Status::Serving | Status::Lapsed(_))
  }

  /// Returns the version of the newest entry or change that was read of the process.
  fn newest_version(&self) -> Version {
    self.ignored.map_or(self.version, |(ignored, _)| ignored.max(self.version))
  }
}

/// A target that came into service or whose entry changed, as the readers of the platform announce it to the
/// other hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
  /// The ID of its entry.
  pub id: Arc<str>,
  /// Its entry, with the cold start that remains now.
  pub listing: Listing,
  /// The platform's state at its last change.
  pub version: Version,
}

fn cold_until(listing: &Listing, now: Instant) -> Option<Instant> {
  (!listing.warmup_remaining.is_zero()).then(|| span::after(now, listing.warmup_remaining))
}

/// Returns a hash that identifies a process of a target on all hosts.
pub fn fingerprint(id: &str, started_ms: Option<u64>) -> u64 {
  let mut hasher = SipHasher13::new();
  id.hash(&mut hasher);
  started_ms.hash(&mut hasher);
  hasher.finish()
}

/// The targets of all services, with their status.
#[derive(Clone, Debug, Default)]
pub struct Roster {
  /// Data centres that are out of service.
  evacuated: HashSet<String>,
  /// Data centres that were out of service before the platform was restored, with the time until
  /// which they stay so unless the platform lists them again.
  held_evacuations: HashMap<String, Instant>,
  /// Whether a snapshot was applied.
  is_listed: bool,
  /// The newest state of the platform of which all entries were applied.
  listed: Version,
  /// Targets that are listed now, by the IDs of their entries.
  keys: HashMap<Arc<str>, Key>,
  targets: SlotMap<Key, Target>,
}

impl Roster {
  /// Returns all targets, including removed ones that are still kept.
  pub fn all(&self) -> impl Iterator<Item = (Key, &Target)> {
    self.targets.iter()
  }

  /// Records that an entry was removed; returns its target if the removal is what makes it
  /// leave.
  ///
  /// `recovering` means that the platform was unavailable recently, so the entry may have
  /// lapsed although the target is alive.
  pub fn expire(
    &mut self,
    id: &str,
    version: Version,
    recovering: bool,
    now: Instant,
  ) -> Option<Key> {
    let key = *self.keys.get(id)?;
    let target = &mut self.targets[key];
    if version <= target.version {
      return None;
    }
    target.version = version;
    match target.status {
      Status::Serving if recovering => {
        target.status = Status::Lapsed(now + LAPSE_GRACE);
        None
      }
      Status::Lapsed(_) | Status::Removed(_) => None,
      Status::Leaving | Status::Serving => self.remove(key, now),
    }
  }

  /// Takes a data centre out of service, or puts it back when `out` is false.
  pub fn evacuate(&mut self, data_centre: &str, out: bool) {
    self.held_evacuations.remove(data_centre);
    if out {
      self.evacuated.insert(data_centre.into());
    } else {
      self.evacuated.remove(data_centre);
    }
  }

  /// Records that a target reports that it is leaving, and when it stops; returns whether
  /// that is new.
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
    // Ranks the report above the entry that the platform published.
    target.version.revision = target.version.revision.saturating_add(1);
    true
  }

  /// Records that a response of a target stated that the target is leaving; returns whether that
  /// is new.
  pub fn record_own_statement(&mut self, key: Key, now: Instant) -> bool {
    let Some(target) = self.targets.get_mut(key) else {
      return false;
    };
    target.states_departure = true;
    let is_new = matches!(target.status, Status::Serving | Status::Lapsed(_));
    if is_new {
      target.status = Status::Leaving;
      target.leaving_since = Some(now);
    }
    is_new
  }

  /// Returns a target.
  pub fn get(&self, key: Key) -> Option<&Target> {
    self.targets.get(key)
  }

  /// Returns whether the entry of a target lapsed that may be alive.
  pub fn has_lapsed(&self) -> bool {
    self.targets.values().any(|target| matches!(target.status, Status::Lapsed(_)))
  }

  /// Returns the data centres that the platform lists as out of service.
  pub fn evacuated(&self) -> impl Iterator<Item = &str> {
    self.evacuated.iter().map(String::as_str)
  }

  /// Returns the data centres that stay out of service for some time although the platform, which
  /// was restored, does not list them.
  pub fn held_evacuations(&self) -> impl Iterator<Item = &str> {
    self.held_evacuations.keys().map(String::as_str)
  }

  /// Keeps data centres out of service until a time, unless the platform lists them by then.
  pub fn hold_evacuations(
    &mut self,
    data_centres: impl IntoIterator<Item = String>,
    until: Instant,
  ) {
    for data_centre in data_centres {
      let held_until = self.held_evacuations.entry(data_centre).or_insert(until);
      *held_until = until.max(*held_until);
    }
  }

  /// Returns whether a target accepts new requests.
  pub fn is_accepting(&self, key: Key) -> bool {
    self.targets.get(key).is_some_and(|target| self.accepts_requests(target))
  }

  /// Returns the keys of a process; a process whose entry was removed and came back has several.
  pub fn keys_of(&self, fingerprint: u64) -> impl Iterator<Item = Key> {
    let targets = self.targets.iter();
    targets.filter(move |(_, target)| target.fingerprint == fingerprint).map(|(key, _)| key)
  }

  /// Records that another host reports a leaving process; returns its key if that is
  /// new.
  pub fn merge_departure(&mut self, departure: &Departure, now: Instant) -> Option<Key> {
    // A process whose entry was removed and came back is also kept as a removed target.
    let is_same_process = |target: &Target| {
      target.fingerprint == departure.fingerprint && !matches!(target.status, Status::Removed(_))
    };
    let (key, target) = self.targets.iter_mut().find(|(_, target)| is_same_process(target))?;
    let is_alive = matches!(target.status, Status::Serving | Status::Lapsed(_));
    // A removal that this host took for a lapse is a departure to hosts that the platform served all the while.
    let ends_lapse =
      matches!(target.status, Status::Lapsed(_)) && target.version == departure.version;
    let is_later = target.version < departure.version
      || ends_lapse
      || (target.may_be_restored && departure.version.era < target.version.era);
    let is_news = is_alive && (is_later || departure.is_own_statement);
    target.states_departure |= departure.is_own_statement;
    if is_news {
      target.status = Status::Leaving;
      target.leaving_since = Some(now);
      target.version = target.version.max(departure.version);
    }
    if is_news || target.status == Status::Leaving {
      target.leaves_at =
        target.leaves_at.or(departure.leaves_in.map(|time| span::after(now, time)));
    }
    is_news.then_some(key)
  }

  /// Returns the processes that are leaving or were removed recently, if this host learned of
  /// it no longer than `max_age` ago.
  pub fn departures(&self, max_age: Duration, now: Instant) -> impl Iterator<Item = Departure> {
    let is_reported = move |target: &&Target| match target.status {
      Status::Removed(kept_until) => {
        let is_relisted =
          target.ignored.is_some_and(|(_, at)| now.saturating_duration_since(at) < GOSSIP_PERIOD);
        is_relisted || now + REMOVED_RETENTION < kept_until + GOSSIP_PERIOD
      }
      Status::Leaving => true,
      Status::Lapsed(_) | Status::Serving => false,
    };
    let is_recent = move |target: &&Target| {
      let since = target.leaving_since.max(target.ignored.map(|(_, at)| at));
      since.is_some_and(|since| now.saturating_duration_since(since) <= max_age)
    };
    let targets = self.targets.values().filter(is_reported).filter(is_recent);
    targets.map(move |target| Departure {
      fingerprint: target.fingerprint,
      is_own_statement: target.states_departure,
      leaves_in: target.leaves_at.map(|at| at.saturating_duration_since(now)),
      version: target.version,
    })
  }

  /// Returns a digest of the targets that are in service. It is equal on two hosts that know the
  /// same ones, whether from entries or from the news of other hosts.
  pub fn digest(&self, now: Instant) -> u64 {
    let in_service = self.targets.values().filter(|target| target.is_in_service());
    let hashes = in_service.map(|target| {
      let mut hasher = SipHasher13::new();
      let is_cold = target.is_cold(now);
      (target.fingerprint, target.listing.address, is_cold).hash(&mut hasher);
      hasher.finish()
    });
    hashes.fold(0, |digest, hash| digest ^ hash)
  }

  /// Returns the targets in service whose entries changed, other than by a heartbeat, within
  /// `max_age`.
  pub fn changed(&self, max_age: Duration, now: Instant) -> impl Iterator<Item = Announcement> {
    let is_recent = move |target: &&Target| target.changed_at.is_some_and(|at| now <= at + max_age);
    let changed = self.targets.values().filter(|target| target.is_in_service()).filter(is_recent);
    changed.map(move |target| Announcement {
      id: Arc::clone(&target.id),
      listing: Listing {
        warmup_remaining: target
          .cold_until
          .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
        ..target.listing.clone()
      },
      version: target.version,
    })
  }

  /// Returns the targets of a service that accept new requests.
  pub fn accepting<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Target)> {
    self
      .targets
      .iter()
      .filter(move |(_, target)| target.listing.service == service && self.accepts_requests(target))
  }

  /// Records an entry; `None` stands for an entry that cannot be parsed, which removes its
  /// target. An entry of another process or address replaces the target. Returns the target if
  /// the entry is what makes it leave, unless it was replaced.
  ///
  /// After the platform was restored, the first entry of a process may be a copy from before. It
  /// brings back no process that was leaving or removed.
  pub fn put(
    &mut self,
    id: &str,
    version: Version,
    listing: Option<Listing>,
    now: Instant,
  ) -> Option<Key> {
    let listed_key = self.keys.get(id).copied();
    let last_key = listed_key.or_else(|| self.last_removed(id));
    if last_key.is_none() && version <= self.listed {
      // Its entry was removed before the list that lacks it.
      return None;
    }
    let last_version = last_key.map(|key| self.targets[key].newest_version());
    if last_version.is_some_and(|last| version <= last) {
      return None;
    }
    // The first entry that a process of this host reads may be a copy, too.
    let may_be_restored = last_version.is_none_or(|last| last.era < version.era);
    let Some(listing) = listing else {
      return listed_key.and_then(|key| self.remove(key, now));
    };
    let status = match listing.state {
      State::Available => Status::Serving,
      State::Draining => Status::Leaving,
    };
    let process_fingerprint = fingerprint(id, listing.started_ms);
    if let Some(key) = last_key {
      let target = &mut self.targets[key];
      let is_out = matches!(target.status, Status::Leaving | Status::Removed(_));
      let is_same_process = target.fingerprint == process_fingerprint;
      if is_same_process && is_out && (may_be_restored || target.states_departure) {
        target.ignored = Some((version, now));
        return None;
      }
    }
    if let Some(key) = listed_key {
      let target = &mut self.targets[key];
      if target.fingerprint == process_fingerprint && target.listing.address == listing.address {
        let starts_leaving = status == Status::Leaving && target.status != Status::Leaving;
        let was = (target.is_in_service(), target.is_cold(now));
        target.status = status;
        target.cold_until = cold_until(&listing, now);
        if was != (target.is_in_service(), target.is_cold(now)) {
          target.changed_at = Some(now);
        }
        target.leaving_since = match status {
          Status::Leaving => target.leaving_since.or(Some(now)),
          _ => None,
        };
        target.listing = listing;
        target.version = version;
        target.may_be_restored = may_be_restored;
        return starts_leaving.then_some(key);
      }
      self.remove(key, now);
    }
    let id: Arc<str> = id.into();
    let key = self.targets.insert(Target {
      changed_at: self.is_listed.then_some(now),
      cold_until: cold_until(&listing, now),
      fingerprint: process_fingerprint,
      id: Arc::clone(&id),
      leaves_at: None,
      leaving_since: (status == Status::Leaving).then_some(now),
      listing,
      states_departure: false,
      may_be_restored,
      ignored: None,
      status,
      version,
    });
    self.keys.insert(id, key);
    None
  }

  /// Returns the target of an entry that was removed last, while it is kept; older snapshots still
  /// contain the entry.
  fn last_removed(&self, id: &str) -> Option<Key> {
    let removed = self.targets.iter().filter(|(_, target)| &*target.id == id);
    removed.max_by_key(|(_, target)| target.newest_version()).map(|(key, _)| key)
  }

  fn remove(&mut self, key: Key, now: Instant) -> Option<Key> {
    let target = &mut self.targets[key];
    let was_alive = matches!(target.status, Status::Serving | Status::Lapsed(_));
    target.status = Status::Removed(now + REMOVED_RETENTION);
    target.leaving_since = target.leaving_since.or(Some(now));
    self.keys.remove(&target.id);
    was_alive.then_some(key)
  }

  /// Applies a snapshot of all entries; returns the targets that start to leave by it.
  pub fn apply_snapshot(
    &mut self,
    entries: Vec<(Arc<str>, Version, Option<Listing>)>,
    version: Version,
    recovering: bool,
    now: Instant,
  ) -> Vec<Key> {
    let listed: HashSet<Arc<str>> = entries.iter().map(|(id, ..)| Arc::clone(id)).collect();
    let missing: Vec<Arc<str>> =
      self.keys.keys().filter(|id| !listed.contains(*id)).cloned().collect();
    let expired = missing.iter().filter_map(|id| self.expire(id, version, recovering, now));
    let mut leaving: Vec<Key> = expired.collect();
    leaving.extend(self.apply_cut_snapshot(entries, now));
    leaving
  }

  /// Applies a snapshot of a part of the entries, which says nothing of the others; returns the targets that
  /// start to leave by it.
  pub fn apply_cut_snapshot(
    &mut self,
    entries: Vec<(Arc<str>, Version, Option<Listing>)>,
    now: Instant,
  ) -> Vec<Key> {
    let leaving = entries
      .into_iter()
      .filter_map(|(id, version, listing)| self.put(&id, version, listing, now));
    let leaving = leaving.collect();
    self.is_listed = true;
    leaving
  }

  /// Records that all entries of a state of the platform were applied, so that an unknown one which is not newer
  /// was removed before.
  pub fn record_complete_list(&mut self, version: Version) {
    self.listed = self.listed.max(version);
  }

  /// Records when the process of a leaving target will stop.
  pub fn set_leaves_at(&mut self, key: Key, at: Instant) {
    if let Some(target) = self.targets.get_mut(key) {
      target.leaves_at = Some(at);
    }
  }

  /// Sets which data centres the platform lists as out of service.
  pub fn set_evacuated(&mut self, data_centres: impl IntoIterator<Item = String>) {
    self.evacuated = data_centres.into_iter().collect();
  }

  fn accepts_requests(&self, target: &Target) -> bool {
    let is_alive = matches!(target.status, Status::Serving | Status::Lapsed(_));
    let data_centre = &target.listing.data_centre;
    let is_evacuated =
      self.evacuated.contains(data_centre) || self.held_evacuations.contains_key(data_centre);
    is_alive && !is_evacuated
  }

  /// Removes the targets whose entries lapsed longer than `LAPSE_GRACE` ago and returns them;
  /// also drops the targets that were removed longer than `REMOVED_RETENTION` ago and ends the
  /// evacuations that were held until now.
  pub fn remove_lapsed(&mut self, now: Instant) -> Vec<Key> {
    self.held_evacuations.retain(|_, until| now < *until);
    let is_overdue =
      |target: &Target| matches!(target.status, Status::Lapsed(until) if until <= now);
    let keys: Vec<Key> =
      self.targets.iter().filter(|(_, target)| is_overdue(target)).map(|(key, _)| key).collect();
    let removed = keys.into_iter().filter_map(|key| self.remove(key, now)).collect();
    self
      .targets
      .retain(|_, target| !matches!(target.status, Status::Removed(until) if until <= now));
    removed
  }
}
