use {
  super::{
    Grant, Message, Request, Room,
    deal::{self, Claim, Deal},
  },
  crate::placement::Load,
  std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Maximum number of waiting requests that a host tells of each service.
pub const MAX_WAITERS: usize = 16;
/// Maximum number of services of which a host tells.
const MAX_SERVICES: usize = 8;
/// Maximum number of other hosts whose waiting requests are kept.
const MAX_HOSTS: usize = 1024;
/// Maximum number of own placements that are kept until the next heartbeat.
const MAX_PLACED: usize = 1024;
/// Heartbeat intervals after which the waiting requests of a silent host no longer count.
const EXPIRY_INTERVALS: u32 = 3;

/// What another host last told of a service.
#[derive(Clone, Debug)]
struct Line {
  /// Number of further requests.
  more: u32,
  requests: Vec<Request>,
}

/// What another host last told.
#[derive(Clone, Debug)]
struct Peer {
  /// Hash of the host.
  hash: u64,
  received_at: Instant,
  /// Its waiting requests, by service.
  lines: HashMap<u64, Line>,
}

/// A request that this host placed since it last told its load.
#[derive(Clone, Copy, Debug)]
struct Placed {
  request: Request,
  service: u64,
  target: u64,
}

/// The waiting requests of all hosts, and what the other hosts know of this one.
#[derive(Clone, Debug)]
pub struct Table {
  /// Hash of this host.
  own_hash: u64,
  /// Time between two heartbeats.
  interval: Duration,
  peers: HashMap<SocketAddr, Peer>,
  /// Requests placed since the last heartbeat.
  placed: Vec<Placed>,
  /// The waiting requests of this host, as it last told them, by service.
  told: HashMap<u64, Vec<Request>>,
  /// The load of this host at each target, as it last told it.
  told_loads: HashMap<u64, Load>,
}

impl Table {
  /// Builds the table of a host with the given hash of its address.
  pub fn new(own_hash: u64) -> Self {
    Self {
      own_hash,
      interval: Duration::ZERO,
      peers: HashMap::new(),
      placed: Vec::new(),
      told: HashMap::new(),
      told_loads: HashMap::new(),
    }
  }

  /// Returns what the next heartbeat tells of the waiting requests, given the first of each service and the
  /// number of all, the loads that it tells and the time between two heartbeats.
  pub fn tell(
    &mut self,
    waiting: impl IntoIterator<Item = (u64, Vec<Request>, usize)>,
    loads: HashMap<u64, Load>,
    interval: Duration,
  ) -> Vec<Message> {
    self.interval = interval;
    self.placed.clear();
    self.told_loads = loads;
    self.told.clear();
    let mut messages = Vec::new();
    let waiting = waiting.into_iter().filter(|(_, requests, _)| !requests.is_empty());
    for (service, mut requests, count) in waiting.take(MAX_SERVICES) {
      requests.truncate(MAX_WAITERS);
      messages.push(Message {
        service,
        waiters: requests.iter().map(Request::message).collect(),
        more: u32::try_from(count.saturating_sub(requests.len())).unwrap_or(u32::MAX),
      });
      self.told.insert(service, requests);
    }
    messages
  }

  /// Replaces what another host, with the given hash of its address, told before.
  pub fn merge(&mut self, host: SocketAddr, hash: u64, messages: &[Message], now: Instant) {
    let is_expired = |peer: &Peer| {
      now.saturating_duration_since(peer.received_at) > self.interval * EXPIRY_INTERVALS
    };
    self.peers.retain(|address, peer| *address != host && !is_expired(peer));
    if messages.is_empty() || self.peers.len() >= MAX_HOSTS {
      return;
    }
    let lines = messages.iter().take(MAX_SERVICES).map(|message| {
      let waiters = message.waiters.iter().take(MAX_WAITERS);
      let line = Line {
        more: message.more,
        requests: waiters.map(|waiter| Request::from_message(waiter, now)).collect(),
      };
      (message.service, line)
    });
    let lines = lines.collect();
    self.peers.insert(
      host,
      Peer {
        hash,
        received_at: now,
        lines,
      },
    );
  }

  /// Records that this host placed a request at a target.
  pub fn record(&mut self, service: u64, request: Request, target: u64) {
    if self.placed.len() < MAX_PLACED {
      self.placed.push(Placed {
        request,
        service,
        target,
      });
    }
  }

  /// Returns the room at a target as all hosts know it: with the load of this host that it last told.
  pub fn room(
    &self,
    target: u64,
    capacity_tokens: u64,
    slots: u32,
    (total, local): (Load, Load),
    need: u64,
  ) -> Room {
    let told = self.told_loads.get(&target).copied().unwrap_or_default();
    let mut known = total;
    known -= local;
    known += told;
    let own_recent = self.placed.iter().filter(|placed| placed.target == target).count();
    let own_freed = local.requests < told.requests
      && local.expected_tokens.saturating_add(need) <= told.expected_tokens;
    Room {
      own_recent: u32::try_from(own_recent).unwrap_or(u32::MAX),
      own_freed,
      ..Room::new(target, capacity_tokens, slots, &known)
    }
  }

  /// Returns whether another host has requests that wait for targets of a service.
  pub fn is_contended(&self, service: u64, now: Instant) -> bool {
    self.peer_lines(service, now).next().is_some()
  }

  fn peer_lines(&self, service: u64, now: Instant) -> impl Iterator<Item = (u64, &Line)> {
    let expiry = self.interval * EXPIRY_INTERVALS;
    let is_current = move |peer: &&Peer| now.saturating_duration_since(peer.received_at) <= expiry;
    let lines = self.peers.values().filter(is_current);
    let lines = lines.filter_map(move |peer| Some((peer.hash, peer.lines.get(&service)?)));
    lines.filter(move |(_, line)| line.requests.iter().any(|request| now < request.give_up_at))
  }

  /// Returns the requests of this host in the order of all hosts: those that the others know of, placed or not,
  /// and those that came since.
  fn own_claims(&self, service: u64, waiting: &[Request]) -> Vec<Claim> {
    let told = self.told.get(&service).map_or(&[][..], Vec::as_slice);
    let told_sequences: HashSet<u64> = told.iter().map(|request| request.sequence).collect();
    let placed = self.placed.iter().filter(|placed| placed.service == service);
    let untold = placed.map(|placed| &placed.request).chain(waiting);
    let untold = untold.filter(|request| !told_sequences.contains(&request.sequence));
    let claim = |request: &Request, is_untold| Claim {
      host: self.own_hash,
      is_own: true,
      is_untold,
      request: *request,
    };
    let told = told.iter().map(|request| claim(request, false));
    told.chain(untold.map(|request| claim(request, true))).collect()
  }

  /// Returns the targets at which this host may place the first of its waiting requests.
  pub fn grant(&self, service: u64, waiting: &[Request], rooms: &[Room], now: Instant) -> Grant {
    let mut claims = Vec::new();
    let mut more = 0_u32;
    let mut hosts = 1;
    for (host, line) in self.peer_lines(service, now) {
      hosts += 1;
      more = more.saturating_add(line.more);
      claims.extend(line.requests.iter().map(|request| Claim {
        host,
        is_own: false,
        is_untold: false,
        request: *request,
      }));
    }
    if claims.is_empty() {
      return Grant::All;
    }
    let first_elsewhere = claims.iter().map(|claim| claim.request.rank).min();
    let is_outranked =
      waiting.first().is_some_and(|own| first_elsewhere.is_some_and(|rank| rank < own.rank));
    claims.extend(self.own_claims(service, waiting));
    let Deal { own, left } = deal::deal(claims, rooms, self.interval, now);
    let granted = rooms.iter().zip(own.into_iter().zip(left)).filter(|(room, (own, left))| {
      let is_left =
        more == 0 && left.checked_sub(room.own_recent).is_some_and(|left| left >= hosts);
      // The other hosts do not know yet that this room is free.
      let is_own = room.own_freed && !is_outranked;
      *own > room.own_recent || is_left || is_own
    });
    let mut granted: Vec<u64> = granted.map(|(room, _)| room.target).collect();
    granted.sort_unstable();
    Grant::Only(granted)
  }
}
