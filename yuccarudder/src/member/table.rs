use {
  super::{Echo, Heartbeat, Phase, cadence},
  std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
  },
};

/// Silence after which a host is no longer sent pulses, unless it is a seed.
const FORGET: Duration = Duration::from_secs(60);
/// Time after its first pulse in which a process hears of the other hosts, if there are any:
/// several pulses of a small fleet.
const FIRST_WORD: Duration = Duration::from_millis(600);
/// Hosts that a pulse names in a fleet that changes.
const MANY_NAMED: usize = 8;
/// Hosts that a pulse names in a settled fleet.
const FEW_NAMED: usize = 1;
/// Time without a new host after which the fleet counts as settled.
const SETTLED: Duration = Duration::from_secs(10);
/// Own pulses whose sending times are kept.
const SENT_KEPT: usize = 64;
/// Hosts beyond which no further ones are taken in.
const MAX_MEMBERS: usize = 1024;

/// Another host.
#[derive(Clone, Debug)]
pub struct Member {
  /// Where callers reach it.
  pub callers: SocketAddr,
  catalog_version: u64,
  heard: Duration,
  incarnation: u64,
  /// Its phase.
  pub phase: Phase,
  /// Whether it reads the platform without trouble.
  pub reads: bool,
  sequence: u64,
  /// How much it can carry, in thousandths of a core.
  pub weight: u32,
}

/// A host that pulses are sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recipient {
  /// Its address.
  pub address: SocketAddr,
  /// What to tell it of its own pulses.
  pub echo: Option<Echo>,
}

/// What a pulse says of the sender's catalog.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Received {
  /// When at the latest the catalog was confirmed, by this host's clock; `None` when
  /// the sender could not prove it to this host.
  pub confirmed: Option<Duration>,
  /// Where the sender is reached by other hosts.
  pub sender: SocketAddr,
}

/// A pulse of this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sent {
  /// When it was sent.
  pub at: Duration,
  /// Its number.
  pub sequence: u64,
}

/// What a host knows of the others.
///
/// Times are those of the clock that counts suspension.
#[derive(Clone, Debug)]
pub struct Table {
  candidates: HashMap<SocketAddr, Duration>,
  /// When the first pulse was sent.
  first_sent: Option<Duration>,
  incarnation: u64,
  /// When a host was last taken in or forgotten.
  changed: Duration,
  members: HashMap<SocketAddr, Member>,
  seeds: Vec<SocketAddr>,
  sent: VecDeque<Sent>,
  this: SocketAddr,
}

impl Table {
  /// Returns the hosts that were heard lately.
  pub fn live(&self, now: Duration) -> impl Iterator<Item = (SocketAddr, &Member)> {
    let silence = cadence::failure_timeout(self.fleet_size());
    let live = move |member: &&Member| now.saturating_sub(member.heard) < silence;
    self
      .members
      .iter()
      .map(|(address, member)| (*address, member))
      .filter(move |(_, m)| live(m))
  }

  /// Returns how many hosts a pulse names: many while the fleet changes, as the hosts have
  /// yet to find each other, and few when it is settled.
  pub fn members_per_heartbeat(&self, now: Duration) -> usize {
    if now.saturating_sub(self.changed) < SETTLED {
      MANY_NAMED
    } else {
      FEW_NAMED
    }
  }

  /// Returns the live hosts that have a catalog above a version.
  pub fn with_catalog_above(&self, version: u64, now: Duration) -> Vec<SocketAddr> {
    let newer = self.live(now).filter(|(_, member)| member.catalog_version > version);
    newer.map(|(address, _)| address).collect()
  }

  /// Returns the number of hosts, with this one, that may hold a part of a bound.
  pub fn fleet_size(&self) -> usize {
    self.members.len() + 1
  }

  /// Returns the number that tells this process from others of the same host.
  pub fn incarnation(&self) -> u64 {
    self.incarnation
  }

  /// Builds the table of a process that knows only seeds.
  pub fn new(this: SocketAddr, incarnation: u64, seeds: Vec<SocketAddr>) -> Self {
    Self {
      candidates: HashMap::new(),
      changed: Duration::ZERO,
      first_sent: None,
      incarnation,
      members: HashMap::new(),
      seeds,
      sent: VecDeque::new(),
      this,
    }
  }

  /// Returns whom to send a pulse, and forgets hosts that are silent for long.
  ///
  /// Returns the hosts that were forgotten, too.
  pub fn recipients(&mut self, now: Duration) -> (Vec<Recipient>, Vec<SocketAddr>) {
    let old = |at: Duration| now.saturating_sub(at) >= FORGET;
    let forgotten: Vec<SocketAddr> =
      self.members.iter().filter(|(_, member)| old(member.heard)).map(|(at, _)| *at).collect();
    if !forgotten.is_empty() {
      self.changed = now;
    }
    for address in &forgotten {
      self.members.remove(address);
    }
    self.candidates.retain(|_, at| !old(*at));
    let mut addresses: Vec<SocketAddr> = self.members.keys().copied().collect();
    addresses.extend(self.candidates.keys().chain(&self.seeds));
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != self.this);
    let known = addresses.into_iter().map(|address| Recipient {
      address,
      echo: self.members.get(&address).map(|member| Echo {
        incarnation: member.incarnation,
        sequence: member.sequence,
      }),
    });
    (known.collect(), forgotten)
  }

  /// Takes in a pulse; returns `None` for one that is older than another or not readable.
  pub fn receive(&mut self, pulse: &Heartbeat, now: Duration) -> Option<Received> {
    let sender: SocketAddr = pulse.sender.parse().ok()?;
    let callers: SocketAddr = pulse.callers.parse().ok()?;
    let known = self.members.contains_key(&sender);
    if sender == self.this || (!known && self.members.len() >= MAX_MEMBERS) {
      return None;
    }
    if let Some(member) = self.members.get(&sender)
      && member.incarnation == pulse.incarnation
      && member.sequence >= pulse.sequence
    {
      return None;
    }
    if !known {
      self.changed = now;
    }
    self.candidates.remove(&sender);
    self.members.insert(
      sender,
      Member {
        callers,
        catalog_version: pulse.catalog_version,
        heard: now,
        incarnation: pulse.incarnation,
        phase: Phase::from_number(pulse.phase),
        reads: pulse.reads,
        sequence: pulse.sequence,
        weight: pulse.weight,
      },
    );
    for address in pulse.members.iter().filter_map(|text| text.parse().ok()) {
      if address != self.this
        && !self.members.contains_key(&address)
        && self.candidates.len() < MAX_MEMBERS
      {
        self.candidates.entry(address).or_insert(now);
      }
    }
    Some(Received {
      confirmed: self.anchor(pulse),
      sender,
    })
  }

  /// Returns a time that the sender's confirmation is not older than.
  ///
  /// The sender made its pulse after it had the one that it echoes, so the age that it
  /// states is counted from the sending of that one, however long the pulse was on its way.
  fn anchor(&self, pulse: &Heartbeat) -> Option<Duration> {
    let echo = pulse.echo.filter(|echo| echo.incarnation == self.incarnation)?;
    let sent = self.sent.iter().find(|sent| sent.sequence == echo.sequence)?;
    let age = Duration::from_millis(pulse.catalog_age_ms?);
    sent.at.checked_sub(age)
  }

  /// Returns how many live hosts go before this one, which can carry `weight`, when a
  /// duty of few hosts is dealt: those that read the platform and can carry more.
  ///
  /// While nobody can read the platform, all live hosts count. A process that has yet to
  /// hear of the others goes last.
  pub fn rank(&self, weight: u32, now: Duration) -> usize {
    if self.awaits_others(now) {
      return usize::MAX;
    }
    let this = (Reverse(weight), self.this);
    let away = !self.live(now).any(|(_, member)| member.reads);
    let before = self.live(now).filter(|(address, member)| {
      (member.reads || away) && (Reverse(member.weight), *address) < this
    });
    before.count()
  }

  /// Returns whether the process has just started and heard of no other host yet.
  fn awaits_others(&self, now: Duration) -> bool {
    let has_seeds = self.seeds.iter().any(|seed| *seed != self.this);
    let is_new = self.first_sent.is_none_or(|at| now.saturating_sub(at) < FIRST_WORD);
    self.members.is_empty() && has_seeds && is_new
  }

  /// Records that pulses were sent.
  pub fn record_sent(&mut self, sent: Sent) {
    self.first_sent.get_or_insert(sent.at);
    self.sent.push_back(sent);
    if self.sent.len() > SENT_KEPT {
      self.sent.pop_front();
    }
  }

  /// Replaces the seeds.
  pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
    self.seeds = seeds;
  }
}
