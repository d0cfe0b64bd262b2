use {
  super::{Room, Sighting},
  crate::roster::Key,
  slotmap::SecondaryMap,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// How long the end of brittleness is announced to the other hosts: several heartbeats of a large fleet.
const END_ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(5);
/// Shortest time for which a rejected place stays unused; targets count rejections by the second, and
/// requests are delayed on their way.
const MIN_REST: Duration = Duration::from_millis(1_200);
/// Longest time for which a rejected place stays unused.
const MAX_REST: Duration = Duration::from_secs(60);
/// How long a share is used before it is computed again from the known hosts.
const SHARE_LIFETIME: Duration = Duration::from_millis(500);
/// Maximum number of recent rejections that are kept of a target.
const MAX_REJECTIONS: usize = 256;
/// Time from the first statement of a service in which its targets may take more requests than later.
const NOTICE_PERIOD: Duration = Duration::from_secs(4);
/// Time after which all hosts know of a rejection, and the requests that they sent before have ended
/// mostly.
const NEWS_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of services whose statements are kept.
const MAX_SERVICES: usize = 1024;

/// What a target of a service said of rejections for want of room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittleStatement {
  /// When the response arrived that said it.
  pub at: Instant,
  /// Rejections per second that each target of the service bears; `None` if it names no number.
  pub tolerance: Option<f64>,
}

/// The part of the places at a target that one host may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceShare {
  /// Number of hosts, including this one.
  pub hosts: usize,
  /// Position of this host in an order of all hosts that is the same on all of them and differs from
  /// target to target; `None` if this host does not know the others yet.
  pub position: Option<usize>,
  /// Number of requests that all hosts together may have at the target.
  pub slots: u32,
}

impl PlaceShare {
  /// Returns the number of places of this host; those of all hosts together are as many as the target
  /// has.
  pub fn places(&self) -> u32 {
    let Some(position) = self.position else {
      return 0;
    };
    let hosts = u32::try_from(self.hosts.max(1)).unwrap_or(u32::MAX);
    let has_extra = u32::try_from(position).is_ok_and(|position| position < self.slots % hosts);
    self.slots / hosts + u32::from(has_extra)
  }
}

/// A request that this host sent to a target of a brittle service.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
  /// Number of requests of all hosts at the target when it was sent, as far as known, with this one.
  pub concurrent: u32,
  /// When it was sent.
  pub sent_at: Instant,
  /// Hash of the name of the service.
  pub service: u64,
}

/// What is known of the room at a target.
#[derive(Clone, Copy, Debug, Default)]
struct RoomRecord {
  /// What any host found.
  all: Room,
  /// What this host found.
  own: Room,
}

#[derive(Clone, Copy, Debug)]
struct Record {
  /// When the first of the statements since the service has been brittle arrived.
  began_at: Instant,
  /// The newest statement that this host received or another one reported.
  newest: BrittleStatement,
  /// The newest statement in a response to this host.
  own: Option<BrittleStatement>,
}

/// Services whose targets fall over when they have to reject too many requests, and the room that this
/// host may use there.
///
/// Each place at such a target belongs to one host, so that the hosts together do not ask for more than
/// there are, however stale their news of each other's loads is.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
  /// This host's shares of the places at targets, and when they were computed.
  shares: SecondaryMap<Key, (Instant, PlaceShare)>,
  /// When targets rejected recent requests of this host.
  rejections: SecondaryMap<Key, Vec<Instant>>,
  /// The room at targets of brittle services.
  rooms: SecondaryMap<Key, RoomRecord>,
  /// Statements by the hash of the name of the service.
  services: HashMap<u64, Record>,
}

impl Brittleness {
  /// Records what a target said, to this host (`own`) or to another one; returns whether the tolerance
  /// has changed.
  pub fn record(&mut self, service: u64, statement: BrittleStatement, own: bool) -> bool {
    let Some(record) = self.services.get_mut(&service) else {
      if statement.tolerance.is_none() || self.services.len() >= MAX_SERVICES {
        return false;
      }
      let record = Record {
        began_at: statement.at,
        newest: statement,
        own: own.then_some(statement),
      };
      self.services.insert(service, record);
      return true;
    };
    if own && record.own.is_none_or(|known| known.at <= statement.at) {
      record.own = Some(statement);
    }
    let changes = record.newest.tolerance != statement.tolerance;
    if record.newest.at > statement.at {
      return false;
    }
    if record.newest.tolerance.is_none() {
      record.began_at = statement.at;
    }
    record.newest = statement;
    changes
  }

  /// Returns the rejections per second that each target of a service bears, if it is brittle.
  pub fn tolerance(&self, service: u64) -> Option<f64> {
    self.services.get(&service)?.newest.tolerance
  }

  /// Returns whether no service has ever been brittle.
  pub fn is_empty(&self) -> bool {
    self.services.is_empty()
  }

  /// Returns what targets stated to this host itself, for the other hosts.
  pub fn own_statements(&self, now: Instant) -> impl Iterator<Item = (u64, BrittleStatement)> {
    self.services.iter().filter_map(move |(service, record)| {
      let statement = record.own?;
      let is_recent = now.saturating_duration_since(statement.at) < END_ANNOUNCEMENT_PERIOD;
      (statement.tolerance.is_some() || is_recent).then_some((*service, statement))
    })
  }

  /// Records that a target of a service took a request of this host, if the service is brittle; returns
  /// whether more of them may be sent to it now.
  pub fn record_taken(&mut self, key: Key, attempt: Attempt, now: Instant) -> bool {
    let Some(record) = self.services.get(&attempt.service) else {
      return false;
    };
    let is_settled = attempt.sent_at >= record.began_at + NOTICE_PERIOD;
    if record.newest.tolerance.is_none() || !is_settled {
      return false;
    }
    let sighting = Sighting {
      at: now,
      places: attempt.concurrent,
    };
    let Some(entry) = self.rooms.entry(key) else {
      return false;
    };
    let room = entry.or_default();
    let before = room.all.taken().map(|taken| taken.places);
    room.own.record_taken(sighting);
    room.all.record_taken(sighting);
    let has_grown = room.all.taken().map(|taken| taken.places) > before;
    if has_grown {
      self.shares.remove(key);
    }
    has_grown
  }

  /// Records that a target of a service rejected a request of this host, if the service is brittle.
  pub fn record_rejection(&mut self, key: Key, attempt: Attempt, now: Instant) {
    if self.tolerance(attempt.service).is_none() {
      return;
    }
    if let Some(entry) = self.rooms.entry(key) {
      let room = entry.or_default();
      let last = room.all.exceeded();
      let used = self.shares.get(key).map(|(_, share)| share.slots);
      // Requests of hosts that have not heard of the last rejection yet may still take up places.
      let places = match (last, used) {
        (Some(last), _) if attempt.sent_at <= last.at + NEWS_DELAY => Some(last.places),
        (last, used) => used.or(last.map(|last| last.places)),
      };
      if let Some(places) = places {
        let sighting = Sighting { at: now, places };
        room.own.record_exceeded(sighting);
        room.all.record_exceeded(sighting);
        if last.map(|last| last.places) != Some(places) {
          self.shares.remove(key);
        }
      }
    }
    if let Some(entry) = self.rejections.entry(key) {
      let times = entry.or_default();
      times.retain(|at| now.saturating_duration_since(*at) < MAX_REST);
      if times.len() < MAX_REJECTIONS {
        times.push(now);
      }
    }
  }

  /// Returns this host's share of the places at a target if it was computed a short time ago.
  pub fn share(&self, key: Key, now: Instant) -> Option<PlaceShare> {
    let (at, share) = self.shares.get(key)?;
    (now.saturating_duration_since(*at) < SHARE_LIFETIME).then_some(*share)
  }

  /// Sets this host's share of the places at a target.
  pub fn set_share(&mut self, key: Key, share: PlaceShare, now: Instant) {
    self.shares.insert(key, (now, share));
  }

  /// Returns whether a target is known to have rejected a request, of any host, within `period` of a time.
  pub fn has_rejected(&self, key: Key, period: Duration, time: Instant) -> bool {
    let own = self.rejections.get(key).into_iter().flatten().copied();
    let others = self.rooms.get(key).and_then(|record| record.all.exceeded());
    own.chain(others.map(|exceeded| exceeded.at)).any(|at| {
      time.saturating_duration_since(at) < period && at.saturating_duration_since(time) < period
    })
  }

  /// Returns the number of requests that all hosts together may have at a target of a service, as far as
  /// its answers show; it begins with as many as the rejections that the target bears.
  pub fn limit(&self, service: u64, key: Key, now: Instant) -> u32 {
    let Some(record) = self.services.get(&service) else {
      return u32::MAX;
    };
    let tolerance = record.newest.tolerance.unwrap_or_default();
    let room = self.rooms.get(key).copied().unwrap_or_default();
    let room = room.all.since(record.began_at + NOTICE_PERIOD);
    room.limit(tolerance as u32, tolerance, now)
  }

  /// Adds what another host found of the room at a target.
  pub fn merge_room(&mut self, key: Key, room: &Room) {
    let Some(entry) = self.rooms.entry(key) else {
      return;
    };
    let known = entry.or_default();
    let before = known.all;
    known.all.merge(room);
    if known.all != before {
      self.shares.remove(key);
    }
  }

  /// Returns what this host found of the room at targets, for the other hosts.
  pub fn own_rooms(&self) -> impl Iterator<Item = (Key, Room)> {
    self.rooms.iter().map(|(key, record)| (key, record.own))
  }

  /// Returns how many further requests this host may send to a target of a service now, given those that
  /// it has there; `None` if the service is not brittle. None without a share that is up to date.
  ///
  /// A place whose request was rejected rests for so long that the places of a target are not rejected
  /// more often than it bears.
  pub fn room(&self, service: u64, key: Key, in_flight: u32, now: Instant) -> Option<u32> {
    let tolerance = self.tolerance(service)?;
    let Some(share) = self.share(key, now) else {
      return Some(0);
    };
    let rest = f64::from(share.slots) / tolerance.max(f64::MIN_POSITIVE);
    let rest = Duration::from_secs_f64(rest.min(MAX_REST.as_secs_f64())).max(MIN_REST);
    let is_resting = |at: &&Instant| now.saturating_duration_since(**at) < rest;
    let resting = self.rejections.get(key).into_iter().flatten().filter(is_resting).count();
    let resting = u32::try_from(resting).unwrap_or(u32::MAX);
    Some(share.places().saturating_sub(in_flight.saturating_add(resting)))
  }
}
