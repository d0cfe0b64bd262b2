use {
  super::{Gateway, call::Call, gateway::State, ingress},
  crate::{
    contention::{self, Grant, Message, Request, Room},
    member,
    placement::{Demand, Load, LoadTable, Waiter},
    roster::{Key, Target},
  },
  std::{collections::HashMap, net::SocketAddr, time::Instant},
};

impl Gateway {
  /// Returns what the next heartbeat, which tells the given loads, tells of the requests that wait for engines.
  pub(super) fn tell_waiting(
    &self,
    state: &mut State,
    loads: &HashMap<u64, Load>,
    now: Instant,
  ) -> Vec<Message> {
    if !state.settings.placement.contention {
      return Vec::new();
    }
    let Some(catalog) = state.catalog.clone() else {
      return Vec::new();
    };
    let interval = member::heartbeat_interval(state.members.fleet_size());
    let services = catalog.services().filter(|service| service.engine.is_some());
    let waiting = services.map(|service| {
      let (entries, count) = self.scheduler.first_waiting(&service.name, contention::MAX_WAITERS);
      let requests = entries.iter().map(|entry| Request::new(entry, now)).collect();
      (ingress::hash(&service.name), requests, count)
    });
    state.contention.tell(waiting, loads.clone(), interval, now)
  }
}

impl State {
  /// Merges the waiting requests that another host told.
  pub(super) fn merge_waiting(&mut self, host: SocketAddr, messages: &[Message], now: Instant) {
    if self.settings.placement.contention {
      self.contention.merge(host, ingress::hash(&host.to_string()), messages, now);
    }
  }
}

impl Call {
  /// Returns whether the request has to keep to the order of the waiting requests of all hosts. Streams that only
  /// one version can continue do not: they have begun, and few targets can take them.
  fn keeps_order(&self, state: &State, demand: &Demand) -> bool {
    state.settings.placement.contention
      && demand.capacity_tokens.is_some()
      && self.version.is_none()
  }

  /// Returns whether so many requests of other hosts wait for the engines that this one keeps to their order.
  pub(super) fn is_contended(&self, state: &State, demand: &Demand, now: Instant) -> bool {
    let targets = || state.roster.accepting(&self.service_name).count();
    self.keeps_order(state, demand)
      && state.contention.is_contended(ingress::hash(&self.service_name), targets(), now)
  }

  /// Returns the targets that the order of the waiting requests of all hosts leaves to this one.
  pub(super) fn grant(
    &self,
    state: &State,
    load_table: &LoadTable,
    is_usable: impl Fn(Key, &Target) -> bool,
    waiter: &Waiter,
    demand: &Demand,
    now: Instant,
  ) -> Grant {
    let service = ingress::hash(&self.service_name);
    let Some(capacity_tokens) =
      demand.capacity_tokens.filter(|_| self.is_contended(state, demand, now))
    else {
      return Grant::All;
    };
    let rooms = state.roster.accepting(&self.service_name).map(|(key, target)| {
      let loads = (
        load_table.total_load(target.fingerprint),
        load_table.local_load(target.fingerprint),
      );
      let demand = (demand.expected_tokens, is_usable(key, target));
      let slots = target.listing.slots;
      state.contention.room(target.fingerprint, capacity_tokens, slots, loads, demand)
    });
    let rooms: Vec<Room> = rooms.collect();
    let entries =
      self.gateway.scheduler.first_waiting(&self.service_name, contention::MAX_WAITERS).0;
    let mut waiting: Vec<Request> = entries.iter().map(|entry| Request::new(entry, now)).collect();
    if waiting.iter().all(|request| request.sequence != waiter.entry().sequence()) {
      waiting.push(Request::new(&waiter.entry(), now));
    }
    let grant = state.contention.grant(service, &waiting, &rooms, now);
    self.gateway.instruments.grants.with_label_values(&[grant.name()]).inc();
    grant
  }

  /// Records that the request was placed, until the other hosts are told its load.
  pub(super) fn record_placement(
    &self,
    state: &mut State,
    key: Key,
    grant: &Grant,
    waiter: &Waiter,
    demand: &Demand,
    now: Instant,
  ) {
    let target = state.roster.get(key).map(|target| target.fingerprint);
    let target = target.filter(|target| !grant.is_freed(*target));
    if let Some(target) = target.filter(|_| self.keeps_order(state, demand)) {
      state.contention.record(&Request::new(&waiter.entry(), now), target);
    }
  }

  /// Notifies the other hosts that the most urgent request of this one begins or stops to wait.
  pub(super) fn announce_waiting(&self, waiter: &Waiter) {
    let is_on = self.gateway.settings().placement.contention;
    let is_engine = self.service().is_some_and(|service| service.engine.is_some());
    if is_on && is_engine && waiter.is_first() {
      self.gateway.heartbeat_trigger.notify_one();
    }
  }
}
