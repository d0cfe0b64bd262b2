//! Limits that targets name for the requests of all hosts together.

use {
  super::{Gateway, assignment::Assignment, gateway::State, ingress},
  crate::{
    member::Heartbeat,
    placement::{
      Attempt, BrittleStatement, ColdLimit, LimitShare, LimitStatement, LoadTable, PlaceShare, Room,
    },
    roster::{Key, Target},
  },
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

const PREFIX: &str = "limits";

impl Gateway {
  /// Records the limit that a response of a target names, or that it names none.
  pub(super) fn record_limit(&self, key: Key, rate: Option<f64>) {
    let now = self.clock.now();
    let statement = LimitStatement { at: now, rate };
    let mut state = self.lock();
    if !state.rate_limits.record(key, statement, true, now) {
      return;
    }
    let Some(target) = state.roster.get(key) else {
      return;
    };
    match rate {
      Some(limit) => {
        log::info!(target: PREFIX, target:% = target.id, limit; "A target named a request limit.");
      }
      None => {
        log::info!(target: PREFIX, target:% = target.id; "A target named no request limit any more.");
      }
    }
    self.heartbeat_trigger.notify_one();
  }

  /// Records the number of rejections that a response of a target names, or that it names none.
  pub(super) fn record_tolerance(&self, key: Key, tolerance: Option<f64>) {
    let at = self.clock.now();
    let mut state = self.lock();
    let Some(target) = state.roster.get(key) else {
      return;
    };
    let name = target.listing.service.clone();
    let statement = BrittleStatement { at, tolerance };
    if !state.brittleness.record(ingress::hash(&name), statement, true) {
      return;
    }
    drop(state);
    match tolerance {
      Some(tolerance) => {
        log::info!(target: PREFIX, service = name.as_str(), tolerance; "A target named the rejections that it bears; sharing out the places.");
      }
      None => {
        log::info!(target: PREFIX, service = name.as_str(); "A target named no number of rejections any more.");
      }
    }
    self.heartbeat_trigger.notify_one();
  }

  /// Records whether a target took a request, for the room at brittle targets.
  pub(super) fn record_room(&self, service: &str, assignment: &Assignment, is_taken: bool) {
    let now = self.clock.now();
    let mut state = self.lock();
    if state.brittleness.is_empty() {
      return;
    }
    let key = assignment.key;
    let attempt = Attempt {
      concurrent: assignment.concurrent,
      sent_at: assignment.assigned_at,
      service: ingress::hash(service),
    };
    let is_news = if is_taken {
      state.brittleness.record_taken(key, attempt, now)
    } else {
      state.brittleness.record_rejection(key, attempt, now);
      state.brittleness.tolerance(attempt.service).is_some()
    };
    if !is_news {
      return;
    }
    if let Some(target) = state.roster.get(key) {
      let room = state.place_limit(attempt.service, key, target, now);
      log::info!(target: PREFIX, target:% = target.id, concurrent = attempt.concurrent, is_taken, room; "Learned of the room at a brittle target.");
    }
    drop(state);
    self.heartbeat_trigger.notify_one();
  }

  /// Merges the limits that targets named to another host.
  pub(super) fn merge_limits(&self, heartbeat: &Heartbeat, now: Instant) {
    if heartbeat.limits.is_empty() && heartbeat.brittle.is_empty() && heartbeat.rooms.is_empty() {
      return;
    }
    let mut state = self.lock();
    for brittle in &heartbeat.brittle {
      state.brittleness.record(brittle.service, brittle.statement(now), false);
    }
    for room in &heartbeat.rooms {
      let keys: Vec<Key> = state.roster.keys_of(room.target).collect();
      for key in keys {
        state.brittleness.merge_room(key, &room.room(now));
        state.excuse_crash(key);
      }
    }
    for limit in &heartbeat.limits {
      let keys: Vec<Key> = state.roster.keys_of(limit.target).collect();
      for key in keys {
        state.rate_limits.record(key, limit.statement(now), false, now);
      }
    }
  }

  /// Counts calls to a target that are not requests of callers against its limit, if it takes them
  /// now; returns whether it does.
  pub(super) fn try_take_calls(&self, key: Key, count: f64) -> bool {
    let now = self.clock.now();
    let since_boot = self.clock.since_boot();
    let mut state = self.lock();
    if state.limited_until(key, now, since_boot).is_some() {
      return false;
    }
    state.take_request(key, count, now, since_boot);
    true
  }
}

/// The places at a target that all hosts together have.
enum Places {
  /// Requests at a brittle target at a time.
  Brittle(u32),
  /// Requests that are sent to a target in its cold start.
  Cold(ColdLimit),
}

impl State {
  /// Returns this host's share of the limit of a target.
  fn limit_share(&self, key: Key, since_boot: Duration) -> LimitShare {
    let seed = self.roster.get(key).map_or(0, |target| target.fingerprint);
    LimitShare {
      hosts: self.members.fleet_size(),
      position: self.members.position(seed, since_boot),
    }
  }

  /// Computes this host's shares of the places at the targets of a service anew, if it is brittle and
  /// they are out of date.
  pub(super) fn update_place_shares(&mut self, service: &str, now: Instant, since_boot: Duration) {
    let hash = ingress::hash(service);
    if self.brittleness.tolerance(hash).is_none() {
      return;
    }
    let hosts = self.members.fleet_size();
    let outdated = self
      .roster
      .accepting(service)
      .filter(|(key, _)| self.brittleness.share(*key, now).is_none());
    let shares: Vec<(Key, PlaceShare)> = outdated
      .map(|(key, target)| {
        let share = PlaceShare {
          hosts,
          position: self.members.position(target.fingerprint, since_boot),
          slots: self.place_limit(hash, key, target, now),
        };
        (key, share)
      })
      .collect();
    for (key, share) in shares {
      self.brittleness.set_share(key, share, now);
    }
  }

  /// Returns the number of requests that all hosts together may have at a target of a brittle service.
  ///
  /// Engines also reject requests for want of memory, which says nothing about their slots.
  pub(super) fn place_limit(&self, service: u64, key: Key, target: &Target, now: Instant) -> u32 {
    let published = target.listing.slots;
    let has_engines = self.catalog.as_ref().is_some_and(|catalog| {
      catalog.service(&target.listing.service).is_some_and(|service| service.engine.is_some())
    });
    if has_engines {
      return published;
    }
    self.brittleness.limit(service, key, now).min(published)
  }

  /// Returns what this host found of the room at targets of brittle services.
  pub(super) fn brittle_rooms(&self) -> impl Iterator<Item = (Key, Room)> {
    self.brittleness.own_rooms().filter(|(key, _)| {
      let target = self.roster.get(*key);
      target.is_some_and(|target| {
        self.brittleness.tolerance(ingress::hash(&target.listing.service)).is_some()
      })
    })
  }

  /// Returns the limit of the targets of a service in their cold start, if they have one.
  pub(super) fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
    let rate = self.catalog.as_ref()?.service(service)?.cold_start_rate?;
    let guarantees = &self.settings.guarantees;
    Some(ColdLimit {
      allowance: guarantees.cold_allowance,
      overage: guarantees.cold_overage,
      rate,
    })
  }

  /// Returns this host's share of the requests that a target in its cold start takes.
  pub(super) fn cold_share(
    &self,
    target: &Target,
    limit: &ColdLimit,
    since_boot: Duration,
  ) -> PlaceShare {
    let members = &self.members;
    let position = members.settled_position(target.fingerprint, limit.window(), since_boot);
    limit.share(members.fleet_size(), position)
  }

  /// Returns whether all targets of a service are brittle or in their cold start and this host has no place
  /// at any of them.
  pub(super) fn lacks_places(&mut self, service: &str, now: Instant, since_boot: Duration) -> bool {
    if !self.is_brittle(service) && self.cold_limit(service).is_none() {
      return false;
    }
    self.update_place_shares(service, now, since_boot);
    let is_lacking = |key, target: &Target, places| match places {
      Places::Brittle(_) => {
        self.brittleness.share(key, now).is_none_or(|share| share.places() == 0)
      }
      Places::Cold(limit) => self.cold_share(target, &limit, since_boot).places() == 0,
    };
    let mut targets = self.roster.accepting(service);
    targets.all(|(key, target)| {
      let mut places = self.places(service, key, target, now);
      places.any(|places| is_lacking(key, target, places))
    })
  }

  /// Returns the places at a target of a service, by each of the limits that it has now.
  fn places(
    &self,
    service: &str,
    key: Key,
    target: &Target,
    now: Instant,
  ) -> impl Iterator<Item = Places> + use<> {
    let place_limit = || self.place_limit(ingress::hash(service), key, target, now);
    let brittle = self.is_brittle(service).then(|| Places::Brittle(place_limit()));
    let cold_limit = target.is_cold(now).then(|| self.cold_limit(service)).flatten();
    brittle.into_iter().chain(cold_limit.map(Places::Cold))
  }

  /// Returns whether a service is brittle.
  pub(super) fn is_brittle(&self, service: &str) -> bool {
    self.brittleness.tolerance(ingress::hash(service)).is_some()
  }

  /// Returns whether this host's requests take up all its places at the usable targets of a brittle service.
  pub(super) fn are_places_taken(
    &self,
    service: &str,
    load_table: &LoadTable,
    now: Instant,
    since_boot: Duration,
  ) -> bool {
    let hash = ingress::hash(service);
    let mut usable =
      self.roster.accepting(service).filter(|(key, _)| self.is_usable(*key, now, since_boot));
    usable.all(|(key, target)| {
      let in_flight = load_table.local_load(target.fingerprint).requests;
      self.brittleness.room(hash, key, in_flight, now) == Some(0)
    })
  }

  /// Returns the number of another host's places at each brittle target of a service that this host finds
  /// usable.
  pub(super) fn places_of(
    &self,
    host: SocketAddr,
    service: &str,
    now: Instant,
    since_boot: Duration,
  ) -> Vec<(u64, u32)> {
    let hash = ingress::hash(service);
    let hosts = self.members.fleet_size();
    let places = |(key, target): (Key, &Target)| {
      let share = PlaceShare {
        hosts,
        position: Some(self.members.position_of(host, target.fingerprint)),
        slots: self.place_limit(hash, key, target, now),
      };
      (target.fingerprint, share.places())
    };
    let accepting = self.roster.accepting(service);
    accepting.filter(|(key, _)| self.is_usable(*key, now, since_boot)).map(places).collect()
  }

  /// Returns how many hosts have a place at a target of a service: the first in an order of all of them.
  pub(super) fn place_holders(
    &self,
    service: &str,
    key: Key,
    target: &Target,
    now: Instant,
  ) -> usize {
    let places = self.places(service, key, target, now).map(|places| match places {
      Places::Brittle(places) => places,
      Places::Cold(limit) => limit.requests(),
    });
    places.min().map_or(usize::MAX, |holders| holders as usize)
  }

  /// Returns until when this host may send no request to a target because of the target's limit.
  fn limited_until(&self, key: Key, now: Instant, since_boot: Duration) -> Option<Instant> {
    self.rate_limits.limit(key)?;
    self.rate_limits.next_at(key, &self.limit_share(key, since_boot), now)
  }

  /// Returns until when a target wants no request from this host, because it asked for a pause or
  /// named a limit.
  pub(super) fn paused_until(
    &self,
    key: Key,
    now: Instant,
    since_boot: Duration,
  ) -> Option<Instant> {
    self.pauses.end(key, now).max(self.limited_until(key, now, since_boot))
  }

  /// Records that requests are sent to a target.
  pub(super) fn take_request(&mut self, key: Key, count: f64, now: Instant, since_boot: Duration) {
    if self.rate_limits.limit(key).is_some() {
      let share = self.limit_share(key, since_boot);
      self.rate_limits.take(key, count, &share, now);
    }
  }

  /// Returns when a target has room for a caller that is asked to come back, and keeps the room for
  /// it, unless the target asked for a pause until later.
  pub(super) fn promise_room(
    &mut self,
    key: Key,
    now: Instant,
    since_boot: Duration,
  ) -> Option<Instant> {
    let share = self.limit_share(key, since_boot);
    let room_at = self.rate_limits.promise(key, &share, now);
    self.pauses.end(key, now).max(room_at)
  }
}
