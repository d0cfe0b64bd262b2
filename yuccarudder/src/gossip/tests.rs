use {
  super::*,
  crate::{
    platform::Key,
    view::{Entry, HostState, OfferOutcome, View},
  },
  proptest::prelude::*,
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

fn address(host: usize) -> SocketAddr {
  let [.., high, low] = u32::try_from(host).unwrap().to_be_bytes();
  ([10, 0, high, low], 80).into()
}

fn hosts(count: usize) -> Vec<Entry> {
  let entry = |host| Entry {
    callers: address(host),
    data_centre: "kochi".into(),
    peers: address(host),
    state: HostState::Live,
  };
  (0..count).map(entry).collect()
}

/// Names a case: size of the fleet and its number of readers.
macro_rules! case {
  ($name:ident, $hosts:expr, $readers:expr) => {
    #[test]
    fn $name() {
      assert_eq!(readers(&hosts($hosts), Key::Settings).len(), $readers);
    }
  };
}

case!(one_host_reads, 1, 1);
case!(seven_hosts, 7, 4);
case!(target_size, 350, 10);
case!(ten_thousand, 10_000, 15);

#[test]
fn leave_of_a_host_moves_its_own_duty_only() {
  let all = hosts(350);
  let before = readers(&all, Key::Settings);
  let rest: Vec<Entry> = all.into_iter().filter(|host| host.callers != before[0]).collect();
  let after = readers(&rest, Key::Settings);
  assert!(before[1..].iter().all(|reader| after.contains(reader)));
}

#[test]
fn unlisted_host_reads() {
  assert!(is_reader(&hosts(350), address(999), Key::Hosts));
}

#[test]
fn host_is_cut_off_after_the_bound() {
  let now = Instant::now();
  let bound = Duration::from_secs(60);
  let contact = Contact::default();
  assert!(contact.is_isolated(now, bound));
  contact.record_heard(now);
  assert!(!contact.is_isolated(now + bound, bound));
  assert!(contact.is_isolated(now + bound + Duration::from_millis(1), bound));
}

const FLEET: usize = 5;

fn document(revision: u64) -> String {
  // Every fifth document has a fault that all hosts find.
  if revision.is_multiple_of(5) {
    return "hosts: 1".into();
  }
  format!(
    "hosts: [{{callers: \"10.0.0.1:{}\", peers: \"10.0.0.1:1\", data_centre: a, state: live}}]",
    revision + 1
  )
}

/// What the adversary does next.
#[derive(Clone, Debug)]
enum Event {
  /// One host exchanges views with another; messages of each direction may be
  /// lost, and those that arrive take some time.
  Exchange {
    from: usize,
    to: usize,
    asked: bool,
    answered: bool,
    delay: u64,
  },
  /// The platform publishes the next revision.
  Publish,
  /// A host reads the platform; the answer takes some time.
  Read { host: usize, delay: u64 },
  /// A host restarts and asks another one before it serves.
  Restart { host: usize, asks: usize },
  /// The platform shows an older revision.
  Rewind(u64),
}

fn event() -> impl Strategy<Value = Event> {
  let host = 0..FLEET;
  prop_oneof![
    6 => (host.clone(), host.clone(), any::<bool>(), any::<bool>(), 0_u64..5)
      .prop_map(|(from, to, asked, answered, delay)| Event::Exchange { from, to, asked, answered, delay }),
    2 => Just(Event::Publish),
    3 => (host.clone(), 0_u64..5).prop_map(|(host, delay)| Event::Read { host, delay }),
    1 => (host.clone(), host).prop_map(|(host, asks)| Event::Restart { host, asks }),
    1 => (0_u64..30).prop_map(Event::Rewind),
  ]
}

/// Several hosts' views, a platform and a clock.
struct World {
  now: Instant,
  platform: u64,
  published: u64,
  /// When each revision was last the published one.
  until: Vec<Instant>,
  views: Vec<View>,
}

impl World {
  fn new() -> Self {
    let now = Instant::now();
    Self {
      now,
      platform: 1,
      published: 1,
      until: vec![now; 1000],
      views: vec![View::default(); FLEET],
    }
  }

  fn pass(&mut self, seconds: u64) {
    self.now += Duration::from_secs(seconds);
    self.until[usize::try_from(self.platform).unwrap()] = self.now;
  }

  fn apply(&mut self, event: Event) {
    self.pass(1);
    match event {
      Event::Exchange {
        from,
        to,
        asked,
        answered,
        delay,
      } if from != to => {
        self.exchange(from, to, (asked, answered), delay);
      }
      Event::Exchange { .. } => {}
      Event::Publish => {
        self.published += 1;
        self.platform = self.published;
        self.pass(0);
      }
      Event::Read { host, delay } => {
        let asked = self.now;
        let revision = self.platform;
        self.pass(delay);
        let text = document(revision);
        self.views[host].offer(Key::Hosts, revision, &text, Some(asked));
      }
      Event::Restart { host, asks } => {
        self.views[host] = View::default();
        self.exchange(host, asks, (true, true), 0);
      }
      Event::Rewind(revision) => self.platform = revision.clamp(1, self.published),
    }
  }

  /// The exchange as `gossip::exchange` and the control calls do it.
  fn exchange(&mut self, from: usize, to: usize, (asked, answered): (bool, bool), delay: u64) {
    if !asked || from == to {
      return;
    }
    let sent = self.now;
    self.pass(delay);
    let theirs = self.views[to].digest(self.now);
    let answered_at = self.now;
    self.pass(delay);
    if !answered {
      return;
    }
    for (key, above) in self.views[from].keys_to_fetch(&theirs) {
      if let Some(published) = self.views[to].published(key, above) {
        self.views[from].offer(key, published.revision, &published.text, None);
      }
    }
    self.views[from].confirm_digest(&theirs, sent);
    for published in self.views[from].documents_to_send(&theirs) {
      self.views[to].offer(published.key, published.revision, &published.text, None);
    }
    let ours = self.views[from].digest(self.now);
    self.pass(delay);
    self.views[to].confirm_digest(&ours, answered_at);
  }

  fn in_force(&self) -> Vec<u64> {
    self.views.iter().map(|view| view.hosts.revision_in_force()).collect()
  }
}

proptest! {
  /// No host goes back but by restarting, and no view claims to be younger than it is.
  #[test]
  fn views_rise_and_ages_are_true(events in prop::collection::vec(event(), 0..120)) {
    let mut world = World::new();
    for event in events {
      let before = world.in_force();
      let restarted = match event {
        Event::Restart { host, .. } => Some(host),
        _ => None,
      };
      world.apply(event);
      for (host, view) in world.views.iter().enumerate() {
        if restarted != Some(host) {
          prop_assert!(view.hosts.revision_in_force() >= before[host]);
        }
        if let Some(confirmed) = view.hosts.confirmed {
          let seen = usize::try_from(view.hosts.newest_seen).unwrap();
          prop_assert!(confirmed <= world.until[seen], "revision {seen} is claimed too young");
        }
      }
    }
  }

  /// Once messages pass again, every host has the newest document that any host accepted.
  #[test]
  fn views_converge(events in prop::collection::vec(event(), 0..60)) {
    let mut world = World::new();
    for event in events {
      world.apply(event);
    }
    for _ in 0..FLEET {
      for host in 0..FLEET {
        world.exchange(host, (host + 1) % FLEET, (true, true), 0);
      }
    }
    let in_force = world.in_force();
    prop_assert!(in_force.windows(2).all(|pair| pair[0] == pair[1]), "{in_force:?}");
  }
}

#[test]
fn restarted_host_is_not_taken_back_by_a_rewound_platform() {
  let mut world = World::new();
  for _ in 0..3 {
    world.apply(Event::Publish);
  }
  world.apply(Event::Read { host: 0, delay: 0 });
  world.apply(Event::Rewind(1));
  world.apply(Event::Restart { host: 1, asks: 0 });
  assert_eq!(world.views[1].hosts.revision_in_force(), 4);
  let offer = world.views[1].offer(Key::Hosts, 1, &document(1), Some(world.now));
  assert_eq!(offer, OfferOutcome::Stale);
}
