use {
  super::{
    Grant, Message, Request, Room,
    deal::{self, Claim, Deal},
  },
  crate::placement::Load,
  std::{
    collections::HashMap,
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
/// Time after a heartbeat in which this host places nothing by the order: the others may not have received it yet
/// and deal out another part of the room.
const DELIVERY_TIME: Duration = Duration::from_millis(20);
/// The order is kept while other hosts have at least one waiting request for so many targets. Fewer requests spread over
/// the targets by chance, and the order would only delay them.
const TARGETS_PER_WAITING_REQUEST: usize = 4;
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
  load: Load,
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
  /// The waiting requests of this host that it last told, by their number, with the time to wait that was told,
  /// in milliseconds.
  told: HashMap<u64, u32>,
  /// When this host last told the others.
  told_at: Option<Instant>,
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
      told_at: None,
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
    now: Instant,
  ) -> Vec<Message> {
    self.interval = interval;
    self.placed.clear();
    self.told_at = Some(now);
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
      self.told.extend(requests.iter().map(|request| (request.sequence, request.remaining_ms)));
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

  /// Records that this host placed a request at a target. It counts by its need as the other hosts know it, also as
  /// a prompt that awaits prefill, since they deal out the room in this way.
  pub fn record(&mut self, request: &Request, target: u64) {
    if self.placed.len() < MAX_PLACED {
      let load = Load {
        prefill_tokens: request.need,
        requests: 1,
        expected_tokens: request.need,
        ..Load::default()
      };
      self.placed.push(Placed { load, target });
    }
  }

  /// Returns a request of this host as it was last told.
  fn as_told(&self, request: Request) -> Request {
    Request {
      remaining_ms: self.told.get(&request.sequence).copied().unwrap_or(request.remaining_ms),
      ..request
    }
  }

  /// Returns the room at a target as all hosts know it: without what requests of this host left there since it last
  /// told its load. What this host placed there since counts: others deal it out to the requests that took it.
  pub fn room(
    &self,
    target: u64,
    capacity_tokens: u64,
    slots: u32,
    (total, local): (Load, Load),
    (need, is_usable): (u64, bool),
  ) -> Room {
    let told = self.told_loads.get(&target).copied().unwrap_or_default();
    let mut known = told;
    let mut own_recent = 0;
    for placed in self.placed.iter().filter(|placed| placed.target == target) {
      own_recent += 1;
      known += placed.load;
    }
    let own_freed = local.requests < told.requests
      && local.expected_tokens.saturating_add(need) <= told.expected_tokens;
    known += total;
    known -= local;
    Room {
      is_usable,
      own_recent,
      own_freed,
      ..Room::new(target, capacity_tokens, slots, &known)
    }
  }

  /// Returns the number of waiting requests of other hosts that are kept.
  pub fn len(&self) -> usize {
    let lines = self.peers.values().flat_map(|peer| peer.lines.values());
    lines.map(|line| line.requests.len()).sum()
  }

  /// Returns whether no waiting requests of other hosts are kept.
  pub fn is_empty(&self) -> bool {
    self.len() == 0
  }

  /// Returns whether so many requests of other hosts wait for the targets of a service that the order is kept.
  pub fn is_contended(&self, service: u64, targets: usize, now: Instant) -> bool {
    let lines = self.peer_lines(service, now).map(|(_, line)| line);
    let waiting = lines.fold(0_usize, |waiting, line| {
      waiting.saturating_add(line.requests.len()).saturating_add(line.more as usize)
    });
    waiting > 0 && waiting.saturating_mul(TARGETS_PER_WAITING_REQUEST) >= targets
  }

  fn peer_lines(&self, service: u64, now: Instant) -> impl Iterator<Item = (u64, &Line)> {
    let expiry = self.interval * EXPIRY_INTERVALS;
    let is_current = move |peer: &&Peer| now.saturating_duration_since(peer.received_at) <= expiry;
    let lines = self.peers.values().filter(is_current);
    let lines = lines.filter_map(move |peer| Some((peer.hash, peer.lines.get(&service)?)));
    lines.filter(move |(_, line)| line.requests.iter().any(|request| now < request.give_up_at))
  }

  /// Returns the targets at which this host may place the first of its waiting requests.
  pub fn grant(&self, service: u64, waiting: &[Request], rooms: &[Room], now: Instant) -> Grant {
    let mut claims = Vec::new();
    let mut more = 0_u32;
    let mut hosts = 1_u64;
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
    claims.extend(waiting.iter().map(|request| Claim {
      host: self.own_hash,
      is_own: true,
      is_untold: !self.told.contains_key(&request.sequence),
      request: self.as_told(*request),
    }));
    let first = waiting.first();
    let need = first.map_or(0, |request| request.need);
    let sequence = first.map_or(0, |request| request.sequence);
    let Deal { first, shares } = deal::deal(claims, rooms, sequence, self.interval, now);
    let can_use_first = first.is_some_and(|index| rooms[index].is_usable);
    let is_settled =
      self.told_at.is_none_or(|at| now.saturating_duration_since(at) >= DELIVERY_TIME);
    let mut granted = Vec::new();
    let mut freed = Vec::new();
    for (index, (room, share)) in rooms.iter().zip(shares).enumerate() {
      // A request that takes the place of another one of its host changes what is left to the others, as far as
      // hosts know.
      let is_dealt = first == Some(index)
        || (first.is_some() && !can_use_first && share.own > 0 && need <= share.own_tokens);
      // Each of the hosts may place as many there.
      let is_left = more == 0 && share.left >= hosts * (u64::from(room.own_recent) + 1);
      // The other hosts do not know yet that this room is free.
      if room.own_freed && !is_outranked {
        freed.push(room.target);
      }
      if is_settled && (is_dealt || is_left) {
        granted.push(room.target);
      }
    }
    granted.sort_unstable();
    freed.sort_unstable();
    Grant::Only { freed, granted }
  }
}
