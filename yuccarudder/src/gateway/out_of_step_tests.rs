//! Property tests of hosts that are out of step: each host is real but for its sockets and its reads of the
//! platform's store.

use {
  super::{Gateway, heartbeats, silent_dialect},
  crate::{
    clock::Clock,
    member::Heartbeat,
    origin::{self, Decision},
    reader::{Area, Change, Changes, Mode, Subject, Version},
    roster, settings,
    upstream::Pool,
  },
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
  std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, UNIX_EPOCH},
  },
};

const SERVICE: &str = "llm";
const STEP: Duration = Duration::from_millis(50);
const HEARTBEAT_STEPS: usize = 4;
/// Steps between two reads of a watch of the store.
const READ_STEPS: usize = 8;
/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Time for which the store may withhold changes from watches.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(1);
const MIN_LISTED_TIME: Duration = Duration::from_secs(2);
/// How long a resumed stream waits for a decision.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time in which hosts that are in touch again have told each other all.
const CONTACT: Duration = Duration::from_secs(3);

fn address(host: usize) -> SocketAddr {
  ([127, 0, 0, 1], 7_000 + host as u16).into()
}

/// A host, and what reaches it.
struct Host {
  gateway: Gateway,
  /// Heartbeats that have arrived and are not received while it is frozen.
  inbox: VecDeque<Heartbeat>,
  is_frozen: bool,
  is_store_cut: bool,
  /// Up to when, and to which revision, it has watched the targets without a gap.
  read_until: Option<(Duration, u64)>,
  sequence: u64,
}

/// A process of a target.
struct Server {
  revision: u64,
  started_at: Duration,
  version: String,
}

impl Server {
  fn subject(&self, id: &str) -> Subject {
    Subject::Target {
      id: id.into(),
      listing: Some(roster::Listing {
        address: address(1_000),
        started_ms: Some(1),
        data_centre: "kochi".into(),
        service: SERVICE.into(),
        slots: 8,
        state: roster::State::Available,
        version: self.version.clone(),
        warmup_remaining: Duration::ZERO,
      }),
    }
  }
}

/// A stream that a caller resumes at a host.
struct Resumption {
  asked_at: Duration,
  host: usize,
  key: Option<u64>,
  version: String,
}

/// A fleet, its store and its streams.
struct World {
  clock: Clock,
  /// Directions of links between hosts that are cut.
  cuts: HashMap<(usize, usize), bool>,
  /// Changes of the store, and when they were made.
  history: Vec<(Duration, Change)>,
  hosts: Vec<Host>,
  is_store_away: bool,
  now: Arc<Mutex<Duration>>,
  pending: Vec<Resumption>,
  random: StdRng,
  revision: u64,
  /// The processes that are listed, by their IDs.
  servers: BTreeMap<String, Server>,
  server_count: u64,
  step: usize,
  /// Key, version and beginning of each stream.
  streams: Vec<(u64, String, Duration)>,
  /// Outcomes of resumptions: continued and refused.
  continued: usize,
  refused: usize,
}

fn start_host(host: usize, clock: &Clock, first_start: bool) -> Host {
  let own = address(host);
  let text = format!(
    "name: host-{host}\nfirst_start: {first_start}\ndata_centre: kochi\ncallers: {own}\nreadiness: {own}\n\
     directory: {own}\nmetrics: {own}\npeers: {own}\nseeds: [{}]\nstore: {own}\ncores: 0.25\n\
     link_mbps: 1000.0\nmemory_mb: 110\npromises:\n  catalog_applied_ms: 2000\n\
     \x20 cold_allowance: 5\n  cold_overage: 1.5\n  directory_keep_s: 5\n  grace_s: 8\n\
     \x20 heartbeat_ms: 1200\n  retry_allowance: 52\n  retry_share: 1.0\n  retry_window_s: 10\n\
     \x20 revocation_ms: 5000\n",
    address(0)
  );
  let settings = settings::Gateway::parse("test", &text).unwrap();
  Host {
    gateway: Gateway::new(
      settings,
      silent_dialect::dialect(),
      Pool::new(clock.clone()),
      clock.clone(),
    ),
    inbox: VecDeque::new(),
    is_frozen: false,
    is_store_cut: false,
    read_until: None,
    sequence: 0,
  }
}

impl World {
  fn new(host_count: usize, seed: u64) -> Self {
    let now = Arc::new(Mutex::new(Duration::ZERO));
    let (start, shown) = (Instant::now(), Arc::clone(&now));
    let clock = Clock::new(move || start + *shown.lock().unwrap(), || UNIX_EPOCH);
    let mut world = Self {
      hosts: (0..host_count).map(|host| start_host(host, &clock, true)).collect(),
      clock,
      cuts: HashMap::new(),
      history: Vec::new(),
      is_store_away: false,
      now,
      pending: Vec::new(),
      random: StdRng::seed_from_u64(seed),
      revision: 1,
      servers: BTreeMap::new(),
      server_count: 0,
      step: 0,
      streams: Vec::new(),
      continued: 0,
      refused: 0,
    };
    world.start_servers("v1", 2);
    world.run(60, 0);
    world
  }

  fn now(&self) -> Duration {
    *self.now.lock().unwrap()
  }

  fn start_servers(&mut self, version: &str, count: usize) {
    for _ in 0..count {
      self.server_count += 1;
      let id = format!("i-{}", self.server_count);
      let server = Server {
        revision: self.revision + 1,
        started_at: self.now(),
        version: version.to_owned(),
      };
      self.write(server.subject(&id));
      self.servers.insert(id, server);
    }
  }

  /// Replaces all servers by those of a version, but for those that have just started.
  fn release(&mut self, version: &str) {
    self.start_servers(version, 2);
    let now = self.now();
    let is_new = |server: &Server| now < server.started_at + MIN_LISTED_TIME;
    let leaving = self.servers.iter().filter(|(_, it)| it.version != version && !is_new(it));
    let leaving: Vec<String> = leaving.map(|(id, _)| id.clone()).collect();
    for id in leaving {
      self.servers.remove(&id);
      self.write(Subject::TargetExpired {
        id: id.as_str().into(),
      });
    }
  }

  fn write(&mut self, subject: Subject) {
    self.revision += 1;
    let version = Version::new(0, self.revision);
    self.history.push((
      self.now(),
      Change {
        created: None,
        version,
        subject,
      },
    ));
  }

  fn reads_store(&self, host: usize) -> bool {
    !self.is_store_away && !self.hosts[host].is_store_cut
  }

  fn snapshot(&self) -> Changes {
    let changes = self.servers.iter().map(|(id, server)| Change {
      created: None,
      version: Version::new(0, server.revision),
      subject: server.subject(id),
    });
    Changes {
      changes: changes.collect(),
      is_cut: false,
      unreadable: 0,
      version: Version::new(0, self.revision),
    }
  }

  /// Returns the changes after a revision that was read at a time; `None` if the store does not keep them.
  fn changes(&self, read_at: Duration, after: u64) -> Option<Changes> {
    let changes = self.history.iter().filter(|(_, change)| change.version.revision > after);
    (self.now() < read_at + HISTORY).then(|| Changes {
      changes: changes.map(|(_, change)| change.clone()).collect(),
      is_cut: false,
      unreadable: 0,
      version: Version::new(0, self.revision),
    })
  }

  /// Lets a host read the store as its role has it.
  fn read(&mut self, host: usize) {
    let now = self.now();
    if !self.reads_store(host) {
      return;
    }
    let read_until = self.hosts[host].read_until;
    let changes = read_until.and_then(|(at, revision)| Some((at, self.changes(at, revision)?)));
    let gateway = &self.hosts[host].gateway;
    self.hosts[host].read_until = match (gateway.read_mode(Area::Targets), changes) {
      (Mode::Watch(_), Some((from, changes))) => {
        gateway.apply_changes(Area::Targets, changes, now);
        gateway.confirm_targets(now);
        let until = from.max(now.saturating_sub(MAX_CHANGE_DELAY));
        gateway.record_targets_read(from, until);
        Some((until, self.revision))
      }
      (Mode::Watch(_), None) => {
        gateway.apply_snapshot(Area::Targets, self.snapshot(), now);
        gateway.confirm_targets(now);
        gateway.record_targets_read(now.saturating_sub(MIN_LISTED_TIME), now);
        Some((now, self.revision))
      }
      (Mode::Refresh(_), _) => {
        gateway.apply_snapshot(Area::Targets, self.snapshot(), now);
        gateway.confirm_targets(now);
        None
      }
      (Mode::Poll(_), _) => {
        gateway.apply_snapshot(Area::Targets, self.snapshot(), now);
        None
      }
      (Mode::Idle(_), _) => None,
    };
  }

  fn send(&mut self, host: usize) {
    self.hosts[host].sequence += 1;
    let (heartbeat, recipients) =
      heartbeats::build(&self.hosts[host].gateway, self.hosts[host].sequence);
    for recipient in recipients {
      let to = (0..self.hosts.len()).find(|to| address(*to) == recipient.address);
      let Some(to) = to.filter(|to| !self.cuts.contains_key(&(host, *to))) else {
        continue;
      };
      self.hosts[to].inbox.push_back(Heartbeat {
        echo: recipient.echo,
        ..heartbeat.clone()
      });
    }
  }

  /// Begins a stream at a host, at a server that it knows and that runs.
  fn begin(&mut self, host: usize) {
    let gateway = &self.hosts[host].gateway;
    let state = gateway.lock();
    let known: Vec<_> = state.roster.accepting(SERVICE).map(|(_, it)| it.id.to_string()).collect();
    drop(state);
    let running = known.iter().filter_map(|id| self.servers.get(id)).collect::<Vec<_>>();
    let Some(server) = running.choose(&mut self.random) else {
      return;
    };
    let key = self.streams.len() as u64;
    gateway.record_origin(key, SERVICE, &server.version);
    self.streams.push((key, server.version.clone(), *self.now.lock().unwrap()));
  }

  /// Lets a caller resume one of the last streams at a host.
  fn resume(&mut self, host: usize) {
    let now = self.now();
    let is_recent = |at: Duration| now.saturating_sub(at) < origin::STREAM_RETENTION;
    let recent: Vec<_> = self.streams.iter().filter(|(_, _, at)| is_recent(*at)).collect();
    let last = recent.len().saturating_sub(8);
    let is_last = self.random.random_bool(0.5);
    let chosen = if is_last {
      &recent[last..]
    } else {
      &recent[..]
    }
    .choose(&mut self.random);
    if let Some((key, version, _)) = chosen {
      self.pending.push(Resumption {
        asked_at: now,
        host,
        key: self.random.random_bool(0.5).then_some(*key),
        version: version.clone(),
      });
    }
  }

  /// Decides on the resumed streams.
  fn decide(&mut self) {
    let now = self.now();
    for resumption in std::mem::take(&mut self.pending) {
      let Resumption {
        asked_at,
        host,
        key,
        ..
      } = resumption;
      if self.hosts[host].is_frozen {
        self.pending.push(resumption);
        continue;
      }
      match self.hosts[host].gateway.decide_origin(key, &[SERVICE], asked_at) {
        Decision::Version(version) => {
          assert_eq!(*version, *resumption.version, "host {host} at {now:?}");
          self.continued += 1;
        }
        Decision::Unconfirmed if now < asked_at + MAX_WAIT => self.pending.push(resumption),
        Decision::Unconfirmed | Decision::Unknown => self.refused += 1,
      }
    }
  }

  /// Lets some steps pass, in each of which streams begin and are resumed with a probability in hundredths.
  fn run(&mut self, steps: usize, streams_percent: u32) {
    for _ in 0..steps {
      *self.now.lock().unwrap() += STEP;
      self.step += 1;
      for host in 0..self.hosts.len() {
        if self.hosts[host].is_frozen {
          continue;
        }
        // A host that runs again may answer a caller before it receives what has arrived meanwhile.
        self.decide();
        if (self.step + host).is_multiple_of(READ_STEPS) {
          self.read(host);
        }
        while let Some(heartbeat) = self.hosts[host].inbox.pop_front() {
          heartbeats::receive(&self.hosts[host].gateway, &heartbeat);
        }
        if (self.step + host).is_multiple_of(HEARTBEAT_STEPS) {
          self.send(host);
        }
        if self.random.random_ratio(streams_percent, 100) {
          self.begin(host);
        }
        if self.random.random_ratio(streams_percent, 100) {
          self.resume(host);
        }
      }
    }
    self.decide();
  }

  /// Disturbs the fleet, or ends a disturbance.
  fn disturb(&mut self) {
    let hosts = self.hosts.len();
    let host = self.random.random_range(0..hosts);
    let other = self.random.random_range(0..hosts);
    match self.random.random_range(0..9) {
      0 => self.hosts[host].is_frozen ^= true,
      1 => self.hosts[host].is_store_cut ^= true,
      2 => self.is_store_away ^= self.random.random_bool(0.3),
      3 => drop(self.cuts.insert((host, other), true)),
      4 => {
        for other in 0..hosts {
          self.cuts.insert((host, other), true);
          self.cuts.insert((other, host), true);
        }
        self.hosts[host].is_store_cut = true;
      }
      5 => self.calm(),
      6 => {
        let version = format!("v{}", self.random.random_range(1..4));
        self.release(&version);
      }
      7 => {
        let version = format!("v{}", self.random.random_range(1..4));
        self.start_servers(&version, 1);
      }
      _ => {
        if self.random.random_bool(0.25) {
          self.hosts[host] = start_host(host, &self.clock, false);
        }
      }
    }
  }

  /// Ends all disturbances.
  fn calm(&mut self) {
    self.cuts.clear();
    self.is_store_away = false;
    for host in &mut self.hosts {
      host.is_frozen = false;
      host.is_store_cut = false;
    }
  }

  fn steps(time: Duration) -> usize {
    (time.as_millis() / STEP.as_millis()) as usize
  }
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

  /// Guards against streams that are joined from two versions at hosts that are out of step: frozen, cut off
  /// from others in one or both directions or from the store, or restarted, one or several at a time, while
  /// versions come, go and come back.
  #[test]
  fn streams_continue_at_the_version_that_began_them_while_hosts_are_out_of_step(
    hosts in 1_usize..5,
    pauses in prop::collection::vec(1_usize..60, 40),
    seed: u64,
  ) {
    let mut world = World::new(hosts, seed);
    for pause in pauses {
      world.disturb();
      world.run(pause, 10);
    }
    world.calm();
    world.run(World::steps(CONTACT), 10);
  }

  /// Guards against refusals of streams of unknown origin where one version has been in service throughout
  /// and the hosts were out of step for some time and have been in touch since.
  #[test]
  fn streams_of_the_only_version_continue_after_hosts_were_out_of_step(
    hosts in 1_usize..5,
    cut_ms in 100_u64..8_000,
    is_store_away: bool,
    kind in 0..4,
    seed: u64,
  ) {
    let mut world = World::new(hosts, seed);
    let host = world.random.random_range(0..hosts);
    match kind {
      0 => world.hosts[host].is_frozen = true,
      1 => world.hosts.iter_mut().for_each(|host| host.is_store_cut = true),
      _ => {
        for other in 0..hosts {
          world.cuts.insert((other, host), true);
          if kind == 3 {
            world.cuts.insert((host, other), true);
            world.hosts[host].is_store_cut = true;
          }
        }
      }
    }
    world.run(World::steps(Duration::from_millis(cut_ms)), 5);
    world.calm();
    world.is_store_away = is_store_away;
    world.run(World::steps(CONTACT), 5);
    (world.continued, world.refused) = (0, 0);
    world.pending.clear();
    world.run(World::steps(CONTACT), 20);
    prop_assert!(world.continued > 0);
    prop_assert_eq!(world.refused, 0);
  }
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 16, ..ProptestConfig::default() })]

  /// Guards against streams that are joined from two versions at hosts that are out of step for longer than streams last.
  #[test]
  fn streams_continue_at_their_version_after_long_cuts(
    cut_s in prop::sample::select(vec![20_u64, 290, 310, 400]),
    seed: u64,
  ) {
    let mut world = World::new(3, seed);
    for other in 1..3 {
      world.cuts.insert((0, other), true);
      world.cuts.insert((other, 0), true);
    }
    world.hosts[0].is_store_cut = true;
    let half = World::steps(Duration::from_secs(cut_s / 2));
    world.run(half, 1);
    world.release("v2");
    world.run(half, 1);
    world.release("v1");
    world.calm();
    world.run(World::steps(CONTACT), 20);
  }
}
