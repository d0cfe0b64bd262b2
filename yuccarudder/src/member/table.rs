use {
  super::{Echo, Heartbeat, Phase, timing},
  crate::{origin::Coverage, span},
  siphasher::sip::SipHasher13,
  std::{
    cmp::Reverse,
    collections::{HashMap, HashSet, VecDeque},
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
  },
};

/// Time without a heartbeat after which a host is removed from the table and, unless it is a
/// seed, no longer sent heartbeats.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after its first heartbeat within which a process hears from the other hosts, if there
/// are any: several heartbeat intervals of a small fleet.
const JOIN_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after its first heartbeat within which a process of a large fleet hears from most of the
/// other hosts.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after its first heartbeat by which all other hosts count a process, whatever the size of the
/// fleet.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Members listed in a heartbeat while the fleet changes.
const MEMBERS_WHILE_CHANGING: usize = 8;
/// Members listed in a heartbeat of a stable fleet.
const MEMBERS_WHEN_STABLE: usize = 1;
/// Time without an added or removed host after which the fleet counts as stable.
const STABLE_AFTER: Duration = Duration::from_secs(10);
/// Own heartbeats whose send times are kept.
const MAX_SENT: usize = 64;
/// Largest number of unreachable services that are kept of a member.
const MAX_UNREACHABLE_SERVICES: usize = 64;
/// Largest number of members, and of candidates; further ones are ignored.
const MAX_MEMBERS: usize = 1024;

/// Another host, as its last heartbeat described it.
#[derive(Clone, Debug)]
pub struct Member {
  /// Whether its build knows requests that other hosts pass on, and questions whether a target listens.
  pub can_assist: bool,
  /// Address at which callers reach it.
  pub callers: SocketAddr,
  catalog_version: u64,
  last_heard: Duration,
  incarnation: u64,
  /// Whether its build takes a request that is passed on for what it is although more is told of it than the
  /// build reads.
  pub passes_over_further_values: bool,
  /// Its readiness.
  pub phase: Phase,
  /// Whether it has listed the targets and its last reads of the platform succeeded.
  pub reads_platform: bool,
  sequence: u64,
  /// Digest of the targets that it has read for the others.
  targets_digest: Option<u64>,
  /// The time of which it last told all software versions at which it began streams, up to when it told
  /// them.
  versions_remembered: Option<Coverage>,
  /// Hashes of the names of services to whose targets it has lost its links.
  pub unreachable_services: Vec<u64>,
  /// Its capacity, in thousandths of a core.
  pub weight: u32,
}

/// A host that heartbeats are sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recipient {
  /// Its address.
  pub address: SocketAddr,
  /// Its newest heartbeat that this host received, to be sent back to it.
  pub echo: Option<Echo>,
}

/// The sender of an accepted heartbeat, and what the heartbeat proves about its catalog.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Received {
  /// Time on this host's clock at or after which the sender confirmed its catalog; `None`
  /// if the heartbeat proves no such time.
  pub confirmed_at: Option<Duration>,
  /// The time of which the sender told all software versions that were in service; `None` if the heartbeat
  /// proves no such time.
  pub coverage: Option<Coverage>,
  /// Address at which other hosts reach the sender.
  pub sender: SocketAddr,
  /// Time on this host's clock at or after which the sender confirmed its targets; `None` if the heartbeat
  /// proves no such time.
  pub targets_confirmed_at: Option<Duration>,
}

/// A heartbeat that this host sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sent {
  /// When it was sent.
  pub at: Duration,
  /// Its sequence number.
  pub sequence: u64,
}

/// Membership table: what a host knows of the other hosts.
///
/// Times are of a clock that keeps running while the host is suspended.
#[derive(Clone, Debug)]
pub struct Table {
  /// Hosts that a member listed and that have sent nothing yet, with the time of the first
  /// mention.
  candidates: HashMap<SocketAddr, Duration>,
  /// When the first heartbeat was sent.
  first_sent: Option<Duration>,
  incarnation: u64,
  /// When a host was last added or removed.
  last_change: Duration,
  /// Hosts that were removed because they were silent, or that were mentioned and have sent nothing; they
  /// may serve callers without this host hearing of it.
  lost: HashSet<SocketAddr>,
  members: HashMap<SocketAddr, Member>,
  seeds: Vec<SocketAddr>,
  sent: VecDeque<Sent>,
  own_address: SocketAddr,
}

impl Table {
  /// Returns the hosts that have sent a heartbeat within the failure timeout.
  pub fn live(&self, now: Duration) -> impl Iterator<Item = (SocketAddr, &Member)> {
    let timeout = timing::failure_timeout(self.fleet_size());
    let is_live = move |member: &&Member| now.saturating_sub(member.last_heard) < timeout;
    self
      .members
      .iter()
      .map(|(address, member)| (*address, member))
      .filter(move |(_, member)| is_live(member))
  }

  /// Returns another host, whether or not it is live.
  pub fn get(&self, address: SocketAddr) -> Option<&Member> {
    self.members.get(&address)
  }

  /// Returns how many members a heartbeat lists: many while the fleet changes and hosts have
  /// yet to find each other, few when it is stable.
  pub fn members_per_heartbeat(&self, now: Duration) -> usize {
    if now.saturating_sub(self.last_change) < STABLE_AFTER {
      MEMBERS_WHILE_CHANGING
    } else {
      MEMBERS_WHEN_STABLE
    }
  }

  /// Returns the live hosts whose catalog is newer than a version.
  pub fn with_catalog_above(&self, version: u64, now: Duration) -> Vec<SocketAddr> {
    let newer = self.live(now).filter(|(_, member)| member.catalog_version > version);
    newer.map(|(address, _)| address).collect()
  }

  /// Returns the number of known hosts, including this one and those that failed recently.
  ///
  /// A limit of the whole fleet is divided by this number, and a host that is silent may
  /// still use its share.
  pub fn fleet_size(&self) -> usize {
    self.members.len() + 1
  }

  /// Returns the number that identifies this process among all processes of this host.
  pub fn incarnation(&self) -> u64 {
    self.incarnation
  }

  /// Builds the table of a process that knows only the seeds.
  pub fn new(own_address: SocketAddr, incarnation: u64, seeds: Vec<SocketAddr>) -> Self {
    Self {
      candidates: HashMap::new(),
      last_change: Duration::ZERO,
      lost: HashSet::new(),
      first_sent: None,
      incarnation,
      members: HashMap::new(),
      seeds,
      sent: VecDeque::new(),
      own_address,
    }
  }

  /// Returns the hosts to send a heartbeat to, and the hosts that this call removed because
  /// they have sent nothing for `FORGET_TIMEOUT`.
  pub fn recipients(&mut self, now: Duration) -> (Vec<Recipient>, Vec<SocketAddr>) {
    let is_expired = |at: Duration| now.saturating_sub(at) >= FORGET_TIMEOUT;
    let removed: Vec<SocketAddr> = self
      .members
      .iter()
      .filter(|(_, member)| is_expired(member.last_heard))
      .map(|(address, _)| *address)
      .collect();
    if !removed.is_empty() {
      self.last_change = now;
    }
    for address in &removed {
      self.members.remove(address);
    }
    let expired = self.candidates.iter().filter(|(_, at)| is_expired(**at));
    let expired: Vec<SocketAddr> = expired.map(|(address, _)| *address).collect();
    for address in expired.into_iter().chain(removed.iter().copied()) {
      self.candidates.remove(&address);
      if self.lost.len() < MAX_MEMBERS {
        self.lost.insert(address);
      }
    }
    let mut addresses: Vec<SocketAddr> = self.members.keys().copied().collect();
    addresses.extend(self.candidates.keys().chain(&self.seeds));
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != self.own_address);
    let recipients = addresses.into_iter().map(|address| Recipient {
      address,
      echo: self.members.get(&address).map(|member| Echo {
        held_ms: Some(span::milliseconds(now.saturating_sub(member.last_heard))),
        incarnation: member.incarnation,
        sequence: member.sequence,
      }),
    });
    (recipients.collect(), removed)
  }

  /// Updates the entry of the sender of a heartbeat, and adds the unknown hosts that it lists as
  /// candidates.
  ///
  /// Returns `None` if the heartbeat is ignored: it is not newer than the last one of the same
  /// process, comes from this host, has an invalid address, or comes from an unknown host while
  /// the table is full.
  pub fn receive(&mut self, heartbeat: &Heartbeat, now: Duration) -> Option<Received> {
    let sender: SocketAddr = heartbeat.sender.parse().ok()?;
    let callers: SocketAddr = heartbeat.callers.parse().ok()?;
    let is_known = self.members.contains_key(&sender);
    if sender == self.own_address || (!is_known && self.members.len() >= MAX_MEMBERS) {
      return None;
    }
    if let Some(member) = self.members.get(&sender)
      && member.incarnation == heartbeat.incarnation
      && member.sequence >= heartbeat.sequence
    {
      return None;
    }
    if !is_known {
      self.last_change = now;
    }
    let known = self.members.get(&sender);
    let same_process = known.filter(|known| known.incarnation == heartbeat.incarnation);
    let could_assist = same_process.is_some_and(|known| known.can_assist);
    let echoed_at = self.echoed_at(heartbeat);
    let remembered = heartbeat.versions_remembered_for_ms.map(Duration::from_millis);
    let remembered = remembered.zip(echoed_at).map(|(age, until)| Coverage::new(age, now, until));
    let versions_remembered = remembered.or_else(|| same_process?.versions_remembered);
    self.candidates.remove(&sender);
    self.lost.remove(&sender);
    self.members.insert(
      sender,
      Member {
        can_assist: could_assist || heartbeat.can_assist(),
        callers,
        catalog_version: heartbeat.catalog_version,
        last_heard: now,
        incarnation: heartbeat.incarnation,
        passes_over_further_values: heartbeat.passes_over_further_values(),
        phase: Phase::from_number(heartbeat.phase),
        reads_platform: heartbeat.reads,
        sequence: heartbeat.sequence,
        versions_remembered,
        targets_digest: heartbeat.targets_digest,
        unreachable_services: heartbeat
          .unreachable_services
          .iter()
          .copied()
          .take(MAX_UNREACHABLE_SERVICES)
          .collect(),
        weight: heartbeat.weight,
      },
    );
    for address in heartbeat.members.iter().filter_map(|text| text.parse().ok()) {
      if address != self.own_address
        && !self.members.contains_key(&address)
        && self.candidates.len() < MAX_MEMBERS
      {
        self.candidates.entry(address).or_insert(now);
      }
    }
    Some(Received {
      confirmed_at: echoed_at.and_then(|at| {
        let age = Duration::from_millis(heartbeat.catalog_age_ms?);
        at.checked_sub(age)
      }),
      coverage: echoed_at.and_then(|echoed_at| coverage(heartbeat, echoed_at, now)),
      sender,
      targets_confirmed_at: echoed_at.and_then(|at| {
        let held = Duration::from_millis(heartbeat.echo?.held_ms?);
        let age = Duration::from_millis(heartbeat.targets_age_ms?);
        at.checked_add(held)?.checked_sub(age).map(|at| at.min(now))
      }),
    })
  }

  /// Returns when this host sent the heartbeat that another one echoes.
  ///
  /// The other host built its heartbeat after it had received the echoed one. What it states of a time
  /// before it built the heartbeat holds for the same time before this one, regardless of the delays on
  /// the network.
  fn echoed_at(&self, heartbeat: &Heartbeat) -> Option<Duration> {
    let echo = heartbeat.echo.filter(|echo| echo.incarnation == self.incarnation)?;
    let sent = self.sent.iter().find(|sent| sent.sequence == echo.sequence)?;
    Some(sent.at)
  }

  /// Returns up to when all other hosts have told at which software versions they began streams from
  /// `since` on; `None` if one of them has not, or if one may exist from which this host has not heard.
  pub fn stated_until(&self, since: Duration, now: Duration) -> Option<Duration> {
    let is_unheard =
      |seed: &SocketAddr| *seed != self.own_address && !self.members.contains_key(seed);
    if !self.candidates.is_empty()
      || !self.lost.is_empty()
      || self.seeds.iter().any(is_unheard)
      || self.members.len() >= MAX_MEMBERS
    {
      return None;
    }
    let told = self.members.values().map(|member| {
      let told = member.versions_remembered.filter(|told| told.begins_by(since))?;
      Some(told.until())
    });
    let told: Option<Vec<Duration>> = told.collect();
    Some(told?.into_iter().min().unwrap_or(now))
  }

  /// Returns how many live hosts precede this one, which has the capacity `weight`, when a
  /// task is assigned to the first few hosts.
  ///
  /// Hosts that read the platform without failures precede this one if they have more capacity;
  /// a tie goes to the lower address. While no other host reads it, all live hosts are
  /// considered. A process that has just started comes last, as it knows few of the others yet and
  /// would take itself for one of the first.
  pub fn rank(&self, weight: u32, now: Duration) -> usize {
    if self.knows_few(now) {
      return usize::MAX;
    }
    let none_reads = !self.live(now).any(|(_, member)| member.reads_platform);
    let preceding = self.preceding(weight, now);
    preceding.filter(|member| member.reads_platform || none_reads).count()
  }

  /// Returns how many live hosts precede this one, whether or not they read the platform. It
  /// stays the same on all hosts while reads fail on some of them.
  pub fn order(&self, weight: u32, now: Duration) -> usize {
    if self.is_joining(now) {
      return usize::MAX;
    }
    self.preceding(weight, now).count()
  }

  /// Returns the position of this host in an order of all known hosts that depends on `seed`; `None`
  /// for a process that has yet to hear from the others.
  ///
  /// Hosts that failed recently keep their place, as in `fleet_size`.
  pub fn position(&self, seed: u64, now: Duration) -> Option<usize> {
    if self.is_joining(now) {
      return None;
    }
    Some(self.position_of(self.own_address, seed))
  }

  /// Returns the position of a host in the order of `position`.
  pub fn position_of(&self, host: SocketAddr, seed: u64) -> usize {
    let hash = position_hash(seed, host);
    let known = self.members.keys().chain([&self.own_address]);
    known.filter(|address| position_hash(seed, **address) < hash).count()
  }

  /// Returns `position`, or `None` for a process that another host may not have counted within the last
  /// `period`.
  ///
  /// If all hosts divide what the fleet may do in such a period by `fleet_size` and this position, they
  /// stay within it while hosts start and end: each then counts all others that have a share.
  pub fn settled_position(&self, seed: u64, period: Duration, now: Duration) -> Option<usize> {
    let settle_time = CONTACT_TIMEOUT.saturating_add(period);
    if self.first_sent.is_none_or(|at| now.saturating_sub(at) < settle_time) {
      return None;
    }
    self.position(seed, now)
  }

  /// Returns the other hosts among the first `count` of the order of `position`.
  pub fn first(&self, seed: u64, count: usize) -> Vec<SocketAddr> {
    let known = self.members.keys().copied().chain([self.own_address]);
    let mut ordered: Vec<SocketAddr> = known.collect();
    ordered.sort_by_key(|address| position_hash(seed, *address));
    ordered.truncate(count);
    ordered.retain(|address| *address != self.own_address);
    ordered
  }

  /// Returns the live hosts with more capacity, or as much and a lower address.
  fn preceding(&self, weight: u32, now: Duration) -> impl Iterator<Item = &Member> {
    let own_key = (Reverse(weight), self.own_address);
    let live = self.live(now);
    live
      .filter(move |(address, member)| (Reverse(member.weight), *address) < own_key)
      .map(|(_, member)| member)
  }

  /// Returns the digests of the targets that the live readers of the platform have listed.
  pub fn target_digests(&self, now: Duration) -> impl Iterator<Item = u64> {
    self.live(now).filter_map(|(_, member)| member.targets_digest)
  }

  /// Returns whether the process has just started and heard from no other host yet.
  fn is_joining(&self, now: Duration) -> bool {
    self.members.is_empty() && self.has_started_within(JOIN_TIMEOUT, now)
  }

  /// Returns whether the process has just started and may have heard from few of the other hosts.
  fn knows_few(&self, now: Duration) -> bool {
    let awaits_others = !self.candidates.is_empty();
    self.has_started_within(JOIN_TIMEOUT, now)
      || (awaits_others && self.has_started_within(DISCOVERY_TIMEOUT, now))
  }

  /// Returns whether there are other hosts to hear from and the first heartbeat was sent less than
  /// `time` ago.
  fn has_started_within(&self, time: Duration, now: Duration) -> bool {
    let has_seeds = self.seeds.iter().any(|seed| *seed != self.own_address);
    has_seeds && self.first_sent.is_none_or(|at| now.saturating_sub(at) < time)
  }

  /// Records that a round of heartbeats was sent.
  pub fn record_sent(&mut self, sent: Sent) {
    self.first_sent.get_or_insert(sent.at);
    self.sent.push_back(sent);
    if self.sent.len() > MAX_SENT {
      self.sent.pop_front();
    }
  }

  /// Replaces the seeds.
  pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
    self.seeds = seeds;
  }
}

/// Returns the time of which the sender of a heartbeat, which echoes one sent at `echoed_at`, told all
/// software versions that were in service; `None` if it proves no such time.
fn coverage(heartbeat: &Heartbeat, echoed_at: Duration, now: Duration) -> Option<Coverage> {
  let age = Duration::from_millis(heartbeat.versions_known_for_ms?);
  let lag = Duration::from_millis(heartbeat.versions_known_until_ms?);
  let coverage = Coverage::new(age, now, echoed_at.checked_sub(lag)?);
  coverage.begins_by(coverage.until()).then_some(coverage)
}

fn position_hash(seed: u64, address: SocketAddr) -> u64 {
  let mut hasher = SipHasher13::new();
  (seed, address).hash(&mut hasher);
  hasher.finish()
}
