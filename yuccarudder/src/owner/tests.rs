use {
  super::*,
  crate::view::{Entry, HostList, HostState, Replica},
  proptest::prelude::*,
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

const DUTY: Duty = Duty::ColdGrants(SocketAddr::V4(std::net::SocketAddrV4::new(
  std::net::Ipv4Addr::new(10, 9, 0, 1),
  80,
)));
const FLEET_SIZE: usize = 4;
const TIMING: Timing = Timing {
  max_list_age: Duration::from_secs(5),
  grant_lifetime: Duration::from_secs(2),
  list_lag: Duration::from_secs(3),
  report_lag: Duration::from_secs(1),
};

fn address(host: usize) -> SocketAddr {
  ([10, 0, 0, u8::try_from(host).unwrap() + 1], 80).into()
}

/// Returns a list of the hosts whose bits are set.
fn list(bits: u8) -> String {
  let listed = (0..FLEET_SIZE).filter(|host| bits & (1 << host) != 0).map(|host| {
    let address = address(host);
    format!("{{callers: \"{address}\", peers: \"{address}\", data_centre: a, state: live}}")
  });
  format!("hosts: [{}]", listed.collect::<Vec<_>>().join(", "))
}

fn entries(count: usize) -> Vec<Entry> {
  let entry = |host: usize| Entry {
    callers: address(host),
    data_centre: "a".into(),
    peers: address(host),
    state: HostState::Live,
  };
  (0..count).map(entry).collect()
}

fn duty(target: u16) -> Duty {
  Duty::ColdGrants(([10, 9, 0, 2], target + 1).into())
}

#[test]
fn duties_are_balanced() {
  let hosts = entries(100);
  let mut counts = vec![0_u32; 100];
  for target in 0..6200 {
    let owner = duty(target).owner(&hosts).unwrap().callers;
    counts[hosts.iter().position(|host| host.callers == owner).unwrap()] += 1;
  }
  assert!(
    counts.iter().all(|count| (30..=100).contains(count)),
    "{counts:?}"
  );
}

#[test]
fn leaving_host_loses_its_duties_and_others_keep_theirs() {
  let mut hosts = entries(50);
  let before: Vec<SocketAddr> =
    (0..500).map(|target| duty(target).owner(&hosts).unwrap().callers).collect();
  hosts[7].state = HostState::Leaving;
  for (target, owner) in (0..500).zip(before) {
    let after = duty(target).owner(&hosts).unwrap().callers;
    assert_eq!(after == owner, owner != address(7));
  }
}

/// One host of the simulation.
#[derive(Clone, Default)]
struct Node {
  hosts: Replica<HostList>,
  ownership: Ownership,
  /// Until when a grant that it made may still be used.
  grant_expires: Option<Instant>,
}

/// A step of the simulation.
#[derive(Clone, Debug)]
enum Event {
  /// A host performs the duty if it may.
  Act(usize),
  /// A host takes the list of another one.
  Gossip {
    from: usize,
    to: usize,
  },
  /// Milliseconds pass.
  Advance(u64),
  /// The platform publishes a list of the hosts whose bits are set.
  Publish(u8),
  /// A host reads the platform, which may return an older list for a while.
  Read {
    host: usize,
    stale: bool,
  },
  Restart(usize),
}

fn event() -> impl Strategy<Value = Event> {
  let host = 0..FLEET_SIZE;
  prop_oneof![
    6 => host.clone().prop_map(Event::Act),
    4 => (host.clone(), host.clone()).prop_map(|(from, to)| Event::Gossip { from, to }),
    4 => (1_u64..4000).prop_map(Event::Advance),
    1 => (1_u8..16).prop_map(Event::Publish),
    6 => (host.clone(), any::<bool>()).prop_map(|(host, stale)| Event::Read { host, stale }),
    1 => host.prop_map(Event::Restart),
  ]
}

/// Hosts with different lists from one platform that may return older ones.
struct Simulation {
  /// Fencing tokens in order of use, each with its host.
  tokens: Vec<(u64, usize)>,
  nodes: Vec<Node>,
  now: Instant,
  /// Revision, bits and time of publication.
  published: Vec<(u64, u8, Instant)>,
}

impl Simulation {
  fn new() -> Self {
    let now = Instant::now();
    Self {
      tokens: Vec::new(),
      nodes: vec![Node::default(); FLEET_SIZE],
      now,
      published: vec![(1, 15, now)],
    }
  }

  fn record_list(&mut self, host: usize) {
    let node = &mut self.nodes[host];
    node.ownership.record_list(&node.hosts, &TIMING, self.now);
  }

  fn offer(&mut self, host: usize, revision: u64, bits: u8, confirmed_at: Option<Instant>) {
    let parse = |text: &str| HostList::parse("hosts", text);
    self.nodes[host].hosts.offer(revision, confirmed_at, &list(bits), parse);
    self.record_list(host);
  }

  /// Lets a host act, which may have been paused for any time but checks its ownership first.
  fn act(&mut self, host: usize) -> Result<(), TestCaseError> {
    self.record_list(host);
    let node = &self.nodes[host];
    let token = node.ownership.fencing_token(
      DUTY,
      address(host),
      node.hosts.confirmed_at,
      &TIMING,
      self.now,
    );
    let Some(token) = token else {
      return Ok(());
    };
    for (other, node) in self.nodes.iter().enumerate() {
      let unexpired = node.grant_expires.is_some_and(|expires| self.now < expires);
      prop_assert!(
        other == host || !unexpired,
        "hosts {host} and {other} own the duty at the same time"
      );
    }
    let newest = self.tokens.last();
    prop_assert!(
      newest.is_none_or(|(last, owner)| token > *last || (*owner == host && token == *last))
    );
    self.tokens.push((token, host));
    self.nodes[host].grant_expires = Some(self.now + TIMING.grant_lifetime);
    Ok(())
  }

  fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
    match event {
      Event::Act(host) => self.act(host)?,
      Event::Gossip { from, to } => {
        let theirs = self.nodes[from].hosts.clone();
        if let Some(accepted) = &theirs.accepted {
          let bits = self.published.iter().find(|item| item.0 == accepted.revision).unwrap().1;
          self.offer(to, accepted.revision, bits, theirs.confirmed_at);
        }
      }
      Event::Advance(ms) => self.now += Duration::from_millis(ms),
      Event::Publish(bits) => {
        let revision = self.published.last().unwrap().0 + 1;
        self.published.push((revision, bits, self.now));
      }
      Event::Read { host, stale } => {
        // A lagging platform returns a list up to `list_lag` after it was replaced.
        let newest = self.published.len() - 1;
        let replaced_at = self.published[newest].2;
        let lagging = stale && newest > 0 && self.now < replaced_at + TIMING.list_lag;
        let (revision, bits, _) = self.published[newest - usize::from(lagging)];
        let now = self.now;
        self.offer(host, revision, bits, Some(now));
      }
      Event::Restart(host) => {
        // The grants of the last process outlive it.
        let grant_expires = self.nodes[host].grant_expires;
        self.nodes[host] = Node {
          grant_expires,
          ..Node::default()
        };
      }
    }
    Ok(())
  }
}

proptest! {
  #![proptest_config(ProptestConfig::with_cases(1000))]

  /// At most one host has made grants that have not expired, and fencing tokens rise.
  #[test]
  fn one_owner_at_a_time(events in prop::collection::vec(event(), 0..150)) {
    let mut simulation = Simulation::new();
    for event in events {
      simulation.apply(event)?;
    }
  }
}

#[test]
fn owner_acts_after_its_wait_and_stops_when_its_list_is_too_old() {
  let mut simulation = Simulation::new();
  for host in 0..FLEET_SIZE {
    simulation.apply(Event::Read { host, stale: false }).unwrap();
  }
  let owner = (0..FLEET_SIZE)
    .find(|host| DUTY.owner(&entries(FLEET_SIZE)).unwrap().callers == address(*host))
    .unwrap();
  let token = |simulation: &Simulation| {
    let node = &simulation.nodes[owner];
    node.ownership.fencing_token(
      DUTY,
      address(owner),
      node.hosts.confirmed_at,
      &TIMING,
      simulation.now,
    )
  };
  assert_eq!(token(&simulation), None);
  simulation.now += TIMING.takeover_wait();
  simulation
    .apply(Event::Read {
      host: owner,
      stale: false,
    })
    .unwrap();
  assert_eq!(token(&simulation), Some(1));
  simulation.now += TIMING.max_list_age + Duration::from_millis(1);
  assert_eq!(token(&simulation), None);
}

#[test]
fn owner_that_missed_a_list_waits_again() {
  let mut simulation = Simulation::new();
  let all = entries(FLEET_SIZE);
  let position = |hosts: &[Entry]| {
    let owner = DUTY.owner(hosts).unwrap().callers;
    (0..FLEET_SIZE).find(|host| address(*host) == owner).unwrap()
  };
  let first = position(&all);
  let remaining: Vec<Entry> =
    all.iter().filter(|host| host.callers != address(first)).cloned().collect();
  let second = position(&remaining);
  let read = |host| Event::Read { host, stale: false };
  simulation.apply(read(first)).unwrap();
  // The first owner misses the list that excludes it, under which another host acts.
  simulation.apply(Event::Publish(15 & !(1 << first))).unwrap();
  simulation.now += TIMING.list_lag;
  simulation.apply(read(second)).unwrap();
  simulation.now += TIMING.takeover_wait();
  simulation.apply(read(second)).unwrap();
  simulation.apply(Event::Act(second)).unwrap();
  assert!(simulation.nodes[second].grant_expires.is_some());
  simulation.apply(Event::Publish(15)).unwrap();
  simulation.apply(read(first)).unwrap();
  simulation.apply(Event::Act(first)).unwrap();
  assert!(simulation.nodes[first].grant_expires.is_none());
}
