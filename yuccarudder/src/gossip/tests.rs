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

/// Tests the number of readers of a fleet with a number of hosts.
macro_rules! reader_counts {
  ($name:ident, $hosts:expr, $readers:expr) => {
    #[test]
    fn $name() {
      assert_eq!(readers(&hosts($hosts), Key::Settings).len(), $readers);
    }
  };
}

reader_counts!(single_host_is_a_reader, 1, 1);
reader_counts!(seven_hosts, 7, 4);
reader_counts!(largest_planned_fleet, 350, 10);
reader_counts!(ten_thousand_hosts, 10_000, 15);

#[test]
fn leaving_reader_does_not_replace_the_others() {
  let all = hosts(350);
  let before = readers(&all, Key::Settings);
  let remaining: Vec<Entry> = all.into_iter().filter(|host| host.callers != before[0]).collect();
  let after = readers(&remaining, Key::Settings);
  assert!(before[1..].iter().all(|reader| after.contains(reader)));
}

#[test]
fn unlisted_host_is_a_reader() {
  assert!(is_reader(&hosts(350), address(999), Key::Hosts));
}

#[test]
fn host_is_isolated_after_the_bound() {
  let now = Instant::now();
  let bound = Duration::from_secs(60);
  let contact = Contact::default();
  assert!(contact.is_isolated(now, bound));
  contact.record_heard(now);
  assert!(!contact.is_isolated(now + bound, bound));
  assert!(contact.is_isolated(now + bound + Duration::from_millis(1), bound));
}

const FLEET_SIZE: usize = 5;

fn document(revision: u64) -> String {
  // Every fifth document is invalid, which every host detects.
  if revision.is_multiple_of(5) {
    return "hosts: 1".into();
  }
  format!(
    "hosts: [{{callers: \"10.0.0.1:{}\", peers: \"10.0.0.1:1\", data_centre: a, state: live}}]",
    revision + 1
  )
}

/// A step of the simulation.
#[derive(Clone, Debug)]
enum Event {
  /// One host exchanges views with another. The request and the response may be lost, and
  /// those that arrive take `delay` seconds.
  Exchange {
    from: usize,
    to: usize,
    requested: bool,
    responded: bool,
    delay: u64,
  },
  /// The platform publishes the next revision.
  Publish,
  /// A host reads the platform; the response takes `delay` seconds.
  Read { host: usize, delay: u64 },
  /// A host restarts and exchanges views with a peer before it serves.
  Restart { host: usize, peer: usize },
  /// The platform returns to an older revision.
  Rollback(u64),
}

fn event() -> impl Strategy<Value = Event> {
  let host = 0..FLEET_SIZE;
  prop_oneof![
    6 => (host.clone(), host.clone(), any::<bool>(), any::<bool>(), 0_u64..5)
      .prop_map(|(from, to, requested, responded, delay)| Event::Exchange { from, to, requested, responded, delay }),
    2 => Just(Event::Publish),
    3 => (host.clone(), 0_u64..5).prop_map(|(host, delay)| Event::Read { host, delay }),
    1 => (host.clone(), host).prop_map(|(host, peer)| Event::Restart { host, peer }),
    1 => (0_u64..30).prop_map(Event::Rollback),
  ]
}

/// The views of several hosts, a platform and a clock.
struct Simulation {
  now: Instant,
  /// Revision that the platform returns.
  platform: u64,
  /// Newest revision ever published.
  published: u64,
  /// When the platform last returned each revision.
  last_current: Vec<Instant>,
  views: Vec<View>,
}

impl Simulation {
  fn new() -> Self {
    let now = Instant::now();
    Self {
      now,
      platform: 1,
      published: 1,
      last_current: vec![now; 1000],
      views: vec![View::default(); FLEET_SIZE],
    }
  }

  fn advance(&mut self, seconds: u64) {
    self.now += Duration::from_secs(seconds);
    self.last_current[usize::try_from(self.platform).unwrap()] = self.now;
  }

  fn apply(&mut self, event: Event) {
    self.advance(1);
    match event {
      Event::Exchange {
        from,
        to,
        requested,
        responded,
        delay,
      } if from != to => {
        self.exchange(from, to, (requested, responded), delay);
      }
      Event::Exchange { .. } => {}
      Event::Publish => {
        self.published += 1;
        self.platform = self.published;
        self.advance(0);
      }
      Event::Read { host, delay } => {
        let requested_at = self.now;
        let revision = self.platform;
        self.advance(delay);
        let text = document(revision);
        self.views[host].offer(Key::Hosts, revision, &text, Some(requested_at));
      }
      Event::Restart { host, peer } => {
        self.views[host] = View::default();
        self.exchange(host, peer, (true, true), 0);
      }
      Event::Rollback(revision) => self.platform = revision.clamp(1, self.published),
    }
  }

  /// Exchanges views in the same steps as `gossip::exchange` and the control calls.
  fn exchange(&mut self, from: usize, to: usize, (requested, responded): (bool, bool), delay: u64) {
    if !requested || from == to {
      return;
    }
    let sent_at = self.now;
    self.advance(delay);
    let theirs = self.views[to].digest(self.now);
    let responded_at = self.now;
    self.advance(delay);
    if !responded {
      return;
    }
    for (key, above) in self.views[from].keys_to_fetch(&theirs) {
      if let Some(published) = self.views[to].published(key, above) {
        self.views[from].offer(key, published.revision, &published.text, None);
      }
    }
    self.views[from].confirm_digest(&theirs, sent_at);
    for published in self.views[from].documents_to_send(&theirs) {
      self.views[to].offer(published.key, published.revision, &published.text, None);
    }
    let ours = self.views[from].digest(self.now);
    self.advance(delay);
    self.views[to].confirm_digest(&ours, responded_at);
  }

  fn in_force(&self) -> Vec<u64> {
    self.views.iter().map(|view| view.hosts.revision_in_force()).collect()
  }
}

proptest! {
  /// The revision in force of a host falls only when it restarts, and no view claims to be more
  /// current than it is.
  #[test]
  fn revisions_never_fall_and_ages_are_never_too_low(events in prop::collection::vec(event(), 0..120)) {
    let mut simulation = Simulation::new();
    for event in events {
      let before = simulation.in_force();
      let restarted = match event {
        Event::Restart { host, .. } => Some(host),
        _ => None,
      };
      simulation.apply(event);
      for (host, view) in simulation.views.iter().enumerate() {
        if restarted != Some(host) {
          prop_assert!(view.hosts.revision_in_force() >= before[host]);
        }
        if let Some(confirmed_at) = view.hosts.confirmed_at {
          let seen = usize::try_from(view.hosts.newest_seen).unwrap();
          prop_assert!(confirmed_at <= simulation.last_current[seen], "the age of revision {seen} is too low");
        }
      }
    }
  }

  /// Once no more messages are lost, every host has the newest document that any host accepted.
  #[test]
  fn views_converge(events in prop::collection::vec(event(), 0..60)) {
    let mut simulation = Simulation::new();
    for event in events {
      simulation.apply(event);
    }
    for _ in 0..FLEET_SIZE {
      for host in 0..FLEET_SIZE {
        simulation.exchange(host, (host + 1) % FLEET_SIZE, (true, true), 0);
      }
    }
    let in_force = simulation.in_force();
    prop_assert!(in_force.windows(2).all(|pair| pair[0] == pair[1]), "{in_force:?}");
  }
}

#[test]
fn restarted_host_ignores_the_older_revision_of_a_rolled_back_platform() {
  let mut simulation = Simulation::new();
  for _ in 0..3 {
    simulation.apply(Event::Publish);
  }
  simulation.apply(Event::Read { host: 0, delay: 0 });
  simulation.apply(Event::Rollback(1));
  simulation.apply(Event::Restart { host: 1, peer: 0 });
  assert_eq!(simulation.views[1].hosts.revision_in_force(), 4);
  let outcome = simulation.views[1].offer(Key::Hosts, 1, &document(1), Some(simulation.now));
  assert_eq!(outcome, OfferOutcome::Stale);
}
