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
const FLEET: usize = 4;
const TERMS: Timing = Timing {
  fresh: Duration::from_secs(5),
  grant: Duration::from_secs(2),
  lag: Duration::from_secs(3),
  report: Duration::from_secs(1),
};

fn address(host: usize) -> SocketAddr {
  ([10, 0, 0, u8::try_from(host).unwrap() + 1], 80).into()
}

/// A list of the hosts whose bit is set.
fn list(bits: u8) -> String {
  let listed = (0..FLEET).filter(|host| bits & (1 << host) != 0).map(|host| {
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
fn leave_of_a_host_moves_its_own_duties_only() {
  let mut hosts = entries(50);
  let before: Vec<SocketAddr> =
    (0..500).map(|target| duty(target).owner(&hosts).unwrap().callers).collect();
  hosts[7].state = HostState::Leaving;
  for (target, owner) in (0..500).zip(before) {
    let after = duty(target).owner(&hosts).unwrap().callers;
    assert_eq!(after == owner, owner != address(7));
  }
}

/// One host of the adversary's world.
#[derive(Clone, Default)]
struct Node {
  hosts: Replica<HostList>,
  ownership: Ownership,
  /// The last use of a right that it holds can come until then.
  right: Option<Instant>,
}

/// What the adversary does next.
#[derive(Clone, Debug)]
enum Event {
  Act(usize),
  Gossip { from: usize, to: usize },
  Pass(u64),
  Publish(u8),
  Read { host: usize, stale: bool },
  Restart(usize),
}

fn event() -> impl Strategy<Value = Event> {
  let host = 0..FLEET;
  prop_oneof![
    6 => host.clone().prop_map(Event::Act),
    4 => (host.clone(), host.clone()).prop_map(|(from, to)| Event::Gossip { from, to }),
    4 => (1_u64..4000).prop_map(Event::Pass),
    1 => (1_u8..16).prop_map(Event::Publish),
    6 => (host.clone(), any::<bool>()).prop_map(|(host, stale)| Event::Read { host, stale }),
    1 => host.prop_map(Event::Restart),
  ]
}

/// Hosts with different views of one platform that may lag.
struct World {
  fences: Vec<(u64, usize)>,
  nodes: Vec<Node>,
  now: Instant,
  /// Revision, bits and time of publication.
  published: Vec<(u64, u8, Instant)>,
}

impl World {
  fn new() -> Self {
    let now = Instant::now();
    Self {
      fences: Vec::new(),
      nodes: vec![Node::default(); FLEET],
      now,
      published: vec![(1, 15, now)],
    }
  }

  fn see(&mut self, host: usize) {
    let node = &mut self.nodes[host];
    node.ownership.record_list(&node.hosts, &TERMS, self.now);
  }

  fn take(&mut self, host: usize, revision: u64, bits: u8, confirmed: Option<Instant>) {
    let accept = |text: &str| HostList::accept("hosts", text);
    self.nodes[host].hosts.offer(revision, confirmed, &list(bits), accept);
    self.see(host);
  }

  /// A paused host acts at any later time, but checks its right first.
  fn act(&mut self, host: usize) -> Result<(), TestCaseError> {
    self.see(host);
    let node = &self.nodes[host];
    let held =
      node.ownership.fencing_token(DUTY, address(host), node.hosts.confirmed, &TERMS, self.now);
    let Some(fence) = held else {
      return Ok(());
    };
    for (other, node) in self.nodes.iter().enumerate() {
      let unexpired = node.right.is_some_and(|until| self.now < until);
      prop_assert!(
        other == host || !unexpired,
        "hosts {host} and {other} hold the duty"
      );
    }
    let newest = self.fences.last();
    prop_assert!(
      newest.is_none_or(|(last, owner)| fence > *last || (*owner == host && fence == *last))
    );
    self.fences.push((fence, host));
    self.nodes[host].right = Some(self.now + TERMS.grant);
    Ok(())
  }

  fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
    match event {
      Event::Act(host) => self.act(host)?,
      Event::Gossip { from, to } => {
        let theirs = self.nodes[from].hosts.clone();
        if let Some(accepted) = &theirs.accepted {
          let bits = self.published.iter().find(|item| item.0 == accepted.revision).unwrap().1;
          self.take(to, accepted.revision, bits, theirs.confirmed);
        }
      }
      Event::Pass(ms) => self.now += Duration::from_millis(ms),
      Event::Publish(bits) => {
        let revision = self.published.last().unwrap().0 + 1;
        self.published.push((revision, bits, self.now));
      }
      Event::Read { host, stale } => {
        // A lagging platform shows a list up to `lag` after it was replaced.
        let newest = self.published.len() - 1;
        let replaced = self.published[newest].2;
        let lagging = stale && newest > 0 && self.now < replaced + TERMS.lag;
        let (revision, bits, _) = self.published[newest - usize::from(lagging)];
        let now = self.now;
        self.take(host, revision, bits, Some(now));
      }
      Event::Restart(host) => {
        // What the last process may still do with its rights outlives it.
        let right = self.nodes[host].right;
        self.nodes[host] = Node {
          right,
          ..Node::default()
        };
      }
    }
    Ok(())
  }
}

proptest! {
  #![proptest_config(ProptestConfig::with_cases(1000))]

  /// Whatever the views, at most one host holds an unexpired right, and fences rise.
  #[test]
  fn one_owner_at_a_time(events in prop::collection::vec(event(), 0..150)) {
    let mut world = World::new();
    for event in events {
      world.apply(event)?;
    }
  }
}

#[test]
fn owner_acts_after_its_wait_and_stops_when_its_view_gets_old() {
  let mut world = World::new();
  for host in 0..FLEET {
    world.apply(Event::Read { host, stale: false }).unwrap();
  }
  let owner = (0..FLEET)
    .find(|host| DUTY.owner(&entries(FLEET)).unwrap().callers == address(*host))
    .unwrap();
  let holds = |world: &World| {
    let node = &world.nodes[owner];
    node.ownership.fencing_token(
      DUTY,
      address(owner),
      node.hosts.confirmed,
      &TERMS,
      world.now,
    )
  };
  assert_eq!(holds(&world), None);
  world.now += TERMS.takeover_wait();
  world
    .apply(Event::Read {
      host: owner,
      stale: false,
    })
    .unwrap();
  assert_eq!(holds(&world), Some(1));
  world.now += TERMS.fresh + Duration::from_millis(1);
  assert_eq!(holds(&world), None);
}

#[test]
fn lists_that_were_missed_are_waited_out() {
  let mut world = World::new();
  let everyone = entries(FLEET);
  let position = |hosts: &[Entry]| {
    let owner = DUTY.owner(hosts).unwrap().callers;
    (0..FLEET).find(|host| address(*host) == owner).unwrap()
  };
  let first = position(&everyone);
  let rest: Vec<Entry> =
    everyone.iter().filter(|host| host.callers != address(first)).cloned().collect();
  let second = position(&rest);
  let read = |host| Event::Read { host, stale: false };
  world.apply(read(first)).unwrap();
  // The first owner misses the list without it, under which another host acts.
  world.apply(Event::Publish(15 & !(1 << first))).unwrap();
  world.now += TERMS.lag;
  world.apply(read(second)).unwrap();
  world.now += TERMS.takeover_wait();
  world.apply(read(second)).unwrap();
  world.apply(Event::Act(second)).unwrap();
  assert!(world.nodes[second].right.is_some());
  world.apply(Event::Publish(15)).unwrap();
  world.apply(read(first)).unwrap();
  world.apply(Event::Act(first)).unwrap();
  assert!(world.nodes[first].right.is_none());
}
