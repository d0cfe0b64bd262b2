use {
  super::{Gateway, heartbeats, silent_dialect},
  crate::{
    clock::Clock,
    member::Heartbeat,
    pace::{Message, Sample},
    reader::Version,
    roster, settings,
    upstream::Pool,
  },
  std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, UNIX_EPOCH},
  },
};

fn address(host: u16) -> SocketAddr {
  ([127, 0, 0, 1], 7_000 + host).into()
}

/// Two hosts and their clock.
struct Pair {
  hosts: [Gateway; 2],
  now: Arc<Mutex<Duration>>,
  sequence: u64,
}

impl Pair {
  /// Starts two hosts, given by whether they consider paces.
  fn new(pace: [bool; 2]) -> Self {
    let now = Arc::new(Mutex::new(Duration::ZERO));
    let (start, shown) = (Instant::now(), Arc::clone(&now));
    let clock = Clock::new(move || start + *shown.lock().unwrap(), || UNIX_EPOCH);
    let start_host = |host: u16| {
      let (own, other) = (address(host), address(1 - host));
      let text = format!(
        "name: host-{host}\ndata_centre: kochi\ncallers: {own}\nreadiness: {own}\ndirectory: {own}\n\
         metrics: {own}\npeers: {own}\nseeds: [{other}]\nstore: {own}\ncores: 0.25\n\
         link_mbps: 1000.0\nmemory_mb: 110\nplacement:\n  pace: {}\npromises:\n\
         \x20 catalog_applied_ms: 2000\n  cold_allowance: 5\n  cold_overage: 1.5\n\
         \x20 directory_keep_s: 5\n  grace_s: 8\n  heartbeat_ms: 1200\n  retry_allowance: 52\n\
         \x20 retry_share: 1.0\n  retry_window_s: 10\n  revocation_ms: 5000\n",
        pace[usize::from(host)]
      );
      let settings = settings::Gateway::parse("test", &text).unwrap();
      Gateway::new(
        settings,
        silent_dialect::dialect(),
        Pool::new(clock.clone()),
        clock.clone(),
      )
    };
    Self {
      hosts: [0, 1].map(start_host),
      now,
      sequence: 0,
    }
  }

  fn wait(&self, seconds: u64) {
    *self.now.lock().unwrap() += Duration::from_secs(seconds);
  }

  /// Sends a heartbeat of the first host to the second one; returns it.
  fn send(&mut self, change: impl FnOnce(&mut Heartbeat)) -> Heartbeat {
    self.sequence += 1;
    let (mut heartbeat, _) = heartbeats::build(&self.hosts[0], self.sequence);
    change(&mut heartbeat);
    heartbeats::receive(&self.hosts[1], &heartbeat);
    heartbeat
  }

  /// Returns how many targets the second host knows the pace of.
  fn known(&self) -> usize {
    self.hosts[1].lock().paces.len()
  }
}

/// Lets a host relay a part of a stream.
fn record(host: &Gateway, target: u64) {
  let sample = Sample {
    broken: 1,
    gaps: 16,
    limit: Duration::from_millis(180),
    streamed: Duration::from_millis(800),
  };
  host.lock().paces.record(target, sample, host.clock.now());
}

/// Lists a target at a host; returns its fingerprint.
fn list(host: &Gateway, id: &str) -> u64 {
  let listing = roster::Listing {
    address: address(100),
    started_ms: Some(1),
    data_centre: "kochi".into(),
    service: "llm".into(),
    slots: 8,
    state: roster::State::Available,
    version: "v1".into(),
    warmup_remaining: Duration::ZERO,
  };
  let mut state = host.lock();
  state.roster.put(id, Version::new(0, 1), Some(listing), host.clock.now());
  roster::fingerprint(id, Some(1))
}

/// Guards against hosts that know the pace of targets from their own streams alone.
#[test]
fn heartbeats_tell_the_pace_of_targets() {
  let mut pair = Pair::new([true, true]);
  let target = list(&pair.hosts[0], "i-1");
  record(&pair.hosts[0], target);
  pair.wait(3);
  assert_eq!(pair.send(|_| {}).paces.len(), 1);
  assert_eq!(pair.known(), 1);
  assert!(pair.send(|_| {}).paces.is_empty());
}

/// Guards against a host that considers paces although its settings don't say so.
#[test]
fn setting_that_is_off_neither_tells_nor_learns() {
  let mut pair = Pair::new([false, false]);
  let target = list(&pair.hosts[0], "i-1");
  record(&pair.hosts[0], target);
  pair.wait(3);
  assert!(pair.send(|_| {}).paces.is_empty());
  pair.send(|heartbeat| heartbeat.paces = vec![message(target)]);
  assert_eq!(pair.known(), 0);
}

fn message(target: u64) -> Message {
  Message {
    target,
    gaps: 16,
    streamed_ms: 800,
    exposure: Vec::new(),
  }
}

/// Guards against state that grows with targets that are long gone, and against a heartbeat with too many messages.
#[test]
fn targets_that_are_not_listed_are_dropped() {
  let mut pair = Pair::new([true, true]);
  let listed = list(&pair.hosts[1], "i-1");
  pair.send(|heartbeat| heartbeat.paces = (0..1_000).map(message).collect());
  assert_eq!(pair.known(), 64);
  pair.send(|heartbeat| heartbeat.paces = vec![message(listed)]);
  heartbeats::build(&pair.hosts[1], 1);
  assert_eq!(pair.known(), 1);
}
