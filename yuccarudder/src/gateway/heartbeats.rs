use {
  super::{
    Gateway,
    gateway::{EVACUATION_HOLD, HOST_SOURCE, State},
    ingress,
  },
  crate::{
    member::{self, Announcement, Codec, Heartbeat, Phase, Received, Recipient, Sent},
    origin, prompt,
    quarantine::Ledger,
    reader,
    roster::{self, Roster},
    span,
  },
  bytes::Bytes,
  futures::{SinkExt, StreamExt, stream::SplitSink},
  prost::Message,
  std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{net::UdpSocket, time},
  tokio_util::udp::UdpFramed,
};

const PREFIX: &str = "member";
/// How long a changed target is announced; several heartbeats of a large fleet, as some are lost.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(2500);
/// Maximum number of targets that a heartbeat announces, so that it fits into one packet.
const MAX_ANNOUNCEMENTS: usize = 12;
/// Maximum numbers of bans, crashes and sound answers in a heartbeat, so that it fits into one packet.
const MAX_BANS: usize = 12;
const MAX_CRASHES: usize = 8;
const MAX_SOUNDS: usize = 16;
/// Maximum number of limits of targets in a heartbeat.
const MAX_LIMITS: usize = 16;
/// Maximum number of begun streams in a heartbeat.
const MAX_ORIGINS: usize = 48;
/// Heartbeats in which a begun stream is announced, as some are lost.
const ORIGIN_HEARTBEATS: u32 = 3;
/// Maximum number of versions of services in a heartbeat, so that it fits into one packet. Beyond it the
/// other hosts are not told all of them.
const MAX_VERSIONS: usize = 32;
/// Pause after a failed transfer before the next host is asked for its catalog.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pause after a receive error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

type Sender = SplitSink<UdpFramed<Codec, Arc<UdpSocket>>, (Bytes, SocketAddr)>;

/// Exchanges heartbeats with the other hosts, and judges the crashes that they report, until the task is
/// dropped.
pub async fn run(gateway: Gateway, socket: Arc<UdpSocket>) {
  let (mut sender, mut receiver) = UdpFramed::new(socket, Codec).split();
  let receiving = async {
    loop {
      match receiver.next().await {
        Some(Ok(((heartbeat, size), from))) => {
          count_bytes(&gateway, "in", size);
          match heartbeat {
            Some(heartbeat) => receive(&gateway, &heartbeat),
            None => {
              log::warn!(target: PREFIX, from:% = from; "A heartbeat cannot be parsed.");
            }
          }
        }
        // The operating system reports unreachable peers as errors. They are ignored, because
        // missing heartbeats show which hosts are gone.
        Some(Err(_)) | None => time::sleep(RECEIVE_RETRY_DELAY).await,
      }
    }
  };
  let sending = async {
    let mut sequence = 0;
    loop {
      gateway.expire_targets();
      sequence += 1;
      let hosts = send(&gateway, &mut sender, sequence).await;
      let min_pause = member::min_heartbeat_interval(hosts);
      time::sleep(min_pause).await;
      let max_pause = member::heartbeat_interval(hosts).saturating_sub(min_pause);
      // The next heartbeat is sent at the end of the interval, or earlier if it is triggered.
      let _ = time::timeout(max_pause, gateway.heartbeat_trigger.notified()).await;
    }
  };
  tokio::join!(receiving, sending, gateway.keep_judging_crashes());
}

/// Sends a heartbeat to every known host; returns the number of hosts.
async fn send(gateway: &Gateway, sender: &mut Sender, sequence: u64) -> usize {
  let (heartbeat, recipients) = build(gateway, sequence);
  let host_count = recipients.len();
  for Recipient { address, echo } in recipients {
    let heartbeat = Heartbeat {
      echo,
      ..heartbeat.clone()
    };
    let datagram = Bytes::from(heartbeat.encode_to_vec());
    let size = datagram.len();
    match sender.send((datagram, address)).await {
      Ok(()) => count_bytes(gateway, "out", size),
      Err(error) => {
        log::debug!(target: PREFIX, address:% = address, error:% = error; "A heartbeat was not sent.");
      }
    }
  }
  host_count
}

fn count_bytes(gateway: &Gateway, direction: &str, size: usize) {
  gateway.instruments.heartbeat_bytes.with_label_values(&[direction]).inc_by(size as u64);
}

/// Builds the next heartbeat; returns it with the hosts to send it to.
pub(super) fn build(gateway: &Gateway, sequence: u64) -> (Heartbeat, Vec<Recipient>) {
  let phase = gateway.phase();
  let clock_now = gateway.clock.now();
  let now = gateway.clock.since_boot();
  let loads = gateway.scheduler.lock().local_loads();
  let unreachable_services = gateway.unreachable_services();
  let mut state = gateway.lock();
  let (mut recipients, removed) = state.members.recipients(now);
  let role = state.role(now);
  let relay_time = role.departure_relay_time();
  let reads_targets = role.reads_targets() && state.reads_platform();
  // A target whose entry lapsed may have left.
  let targets_age = (reads_targets && !state.roster.has_lapsed())
    .then(|| state.targets_freshness.age(now))
    .flatten();
  if targets_age.is_none() {
    let echoes = recipients.iter_mut().filter_map(|recipient| recipient.echo.as_mut());
    echoes.for_each(|echo| echo.held_ms = None);
  }
  let max_members = state.members.members_per_heartbeat(now);
  state.members.record_sent(Sent { at: now, sequence });
  state.observe_versions(None, clock_now);
  state.confirm_versions(now);
  let paces = state.take_paces(clock_now);
  let account_uses = gateway.tell_account_uses(&mut state);
  let waiting = gateway.tell_waiting(&mut state, &loads, clock_now);
  let held_prompts = held_prompts(&mut state);
  let versions = state.origins.versions(clock_now);
  // Others rely on the list only if it is complete.
  let is_complete = versions.len() <= MAX_VERSIONS;
  let coverage = state.origins.coverage().filter(|_| is_complete);
  let memory = state.origins.memory().filter(|_| is_complete);
  let age = state.freshness.age(now);
  let heartbeat = Heartbeat {
    account_uses,
    held_prompts,
    paces,
    waiting,
    announcements: if reads_targets {
      announcements(&state.roster, clock_now)
    } else {
      Vec::new()
    },
    bans: bans(&state.ledger, clock_now),
    brittle: brittle_services(&state, clock_now),
    callers: state.settings.callers.to_string(),
    catalog_age_ms: age.map(|age| span::milliseconds(age) + 1),
    catalog_version: state.catalog_version(),
    crashes: crashes(&state.ledger, clock_now),
    echo: None,
    era: state.era.number(),
    evacuated: state.roster.evacuated().map(str::to_owned).collect(),
    held_evacuations: state.roster.held_evacuations().map(str::to_owned).collect(),
    operator_era: state.operator_version.era,
    operator_revision: state.operator_version.revision,
    incarnation: state.members.incarnation(),
    leaving: state.roster.departures(relay_time, clock_now).map(member::Leaving::from).collect(),
    limits: limits(&state, clock_now),
    loads: loads.into_iter().map(|(target, load)| member::Load::new(target, load)).collect(),
    members: random_subset(state.members.live(now), max_members)
      .into_iter()
      .map(|(address, _)| address.to_string())
      .collect(),
    origins: origins(&state, clock_now),
    phase: phase.number(),
    protocol: member::PROTOCOL,
    reads: state.reads_platform(),
    rooms: rooms(&state, clock_now),
    restore_age_ms: state.era.restore_age(now).map(span::milliseconds),
    sender: state.settings.peers.to_string(),
    sequence,
    sounds: sounds(&state.ledger, clock_now),
    targets_age_ms: targets_age.map(|age| span::milliseconds(age) + 1),
    targets_digest: reads_targets.then(|| state.roster.digest(clock_now)),
    unreachable_services,
    versions: version_list(versions),
    versions_known_for_ms: coverage.map(|coverage| span::milliseconds(coverage.age(now))),
    versions_remembered_for_ms: memory.map(|memory| span::milliseconds(memory.age(now))),
    versions_known_until_ms: coverage
      .map(|coverage| span::milliseconds(now.saturating_sub(coverage.until())) + 1),
    weight: state.settings.weight,
  };
  removed.iter().for_each(|host| state.shares.remove_host(*host));
  drop(state);
  for host in removed {
    log::info!(target: PREFIX, host:% = host; "Removed a host that was silent for too long.");
    gateway.scheduler.lock().remove_host(host);
  }
  (heartbeat, recipients)
}

/// Returns the prompt parts that targets began to hold since the last heartbeat.
fn held_prompts(state: &mut State) -> Vec<prompt::Message> {
  if state.prompts.is_empty() {
    return Vec::new();
  }
  let known: HashSet<u64> = state.roster.all().map(|(_, target)| target.fingerprint).collect();
  state.prompts.retain(|target| known.contains(&target));
  state.prompts.take_news()
}

/// Records the prompt parts that targets hold by another host, and what its requests there took in
/// since its last heartbeat.
fn merge_held_prompts(
  gateway: &Gateway,
  heartbeat: &Heartbeat,
  sender: SocketAddr,
  received_at: Instant,
) {
  let mut state = gateway.lock();
  if !state.settings.placement.held_prompts {
    return;
  }
  let load_table = gateway.scheduler.lock();
  for load in &heartbeat.loads {
    let before = load_table.peer_load(sender, load.target).used_tokens;
    state.prompts.take_in(load.target, load.load().used_tokens.saturating_sub(before));
  }
  drop(load_table);
  let count: usize = heartbeat.held_prompts.iter().map(|message| message.parts.len()).sum();
  if count > prompt::MAX_NEWS {
    log::warn!(target: PREFIX, host:% = sender, count; "A heartbeat tells too many prompt parts; the first ones count.");
  }
  let roster = &state.roster;
  let is_known = |message: &&prompt::Message| roster.keys_of(message.target).next().is_some();
  let news: Vec<prompt::Message> =
    heartbeat.held_prompts.iter().take(prompt::MAX_NEWS).filter(is_known).cloned().collect();
  state.prompts.merge(&news, received_at);
}

/// Returns the recently changed targets, or a random part of them if there are many.
fn announcements(roster: &Roster, now: Instant) -> Vec<member::Announcement> {
  let changed = random_subset(roster.changed(ANNOUNCEMENT_PERIOD, now), MAX_ANNOUNCEMENTS);
  changed.into_iter().map(member::Announcement::from).collect()
}

/// Returns the bans, or a random part of them if there are many.
fn bans(ledger: &Ledger, now: Instant) -> Vec<member::Ban> {
  let bans = random_subset(ledger.bans(), MAX_BANS);
  bans.into_iter().map(|ban| member::Ban::new(ban, now)).collect()
}

/// Returns the crashes that this host announces: half of the places go to those under features that
/// explain most crashes, the others to random ones, so that each is announced sooner or later.
fn crashes(ledger: &Ledger, now: Instant) -> Vec<member::Crash> {
  let announced = ledger.announced_crashes(now);
  let (first, rest) = announced.split_at(announced.len().min(MAX_CRASHES / 2));
  let rest = random_subset(rest.iter(), MAX_CRASHES - first.len());
  first.iter().chain(rest).map(|crash| member::Crash::new(crash, now)).collect()
}

/// Returns what brittle targets stated to this host.
fn brittle_services(state: &State, now: Instant) -> Vec<member::Brittle> {
  let statements = state.brittleness.own_statements(now);
  let messages =
    statements.map(|(service, statement)| member::Brittle::new(service, statement, now));
  messages.take(MAX_LIMITS).collect()
}

/// Returns what this host found of the room at brittle targets, or a random part of it.
fn rooms(state: &State, now: Instant) -> Vec<member::Room> {
  let rooms = state.brittle_rooms().filter_map(|(key, room)| {
    let target = state.roster.get(key)?;
    Some(member::Room::new(target.fingerprint, &room, now))
  });
  random_subset(rooms, MAX_LIMITS)
}

/// Returns the limits that targets named to this host.
fn limits(state: &State, now: Instant) -> Vec<member::Limit> {
  let statements = state.rate_limits.own_statements(now);
  let limits = statements.filter_map(|(key, statement)| {
    let target = state.roster.get(key)?;
    Some(member::Limit::new(target.fingerprint, statement, now))
  });
  limits.take(MAX_LIMITS).collect()
}

/// Returns the streams that this host announces, or a random part of them if there are many.
fn origins(state: &State, now: Instant) -> Vec<member::Origin> {
  let mut streams: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
  for (stream, version) in random_subset(state.origins.announced(now), MAX_ORIGINS) {
    streams.entry(version).or_default().push(stream);
  }
  let origin = |(version, streams): (&str, _)| member::Origin {
    streams,
    version: version.to_owned(),
  };
  streams.into_iter().map(origin).collect()
}

/// Returns the software versions of all services; of those that have several if there are too many.
fn version_list(
  mut versions: Vec<(&origin::ServiceVersion, Duration)>,
) -> Vec<member::ServiceVersion> {
  if versions.len() > MAX_VERSIONS {
    let mut counts: HashMap<u64, u32> = HashMap::new();
    for ((service, _), _) in &versions {
      *counts.entry(*service).or_default() += 1;
    }
    versions.retain(|((service, _), _)| counts[service] > 1);
    versions.truncate(MAX_VERSIONS);
  }
  versions
    .into_iter()
    .map(|(version, age)| member::ServiceVersion::new(version, age))
    .collect()
}

/// Returns the sound answers that this host announces, or a random part of them if there are many.
fn sounds(ledger: &Ledger, now: Instant) -> Vec<member::Sound> {
  let sounds = random_subset(ledger.announced_sounds(now), MAX_SOUNDS);
  sounds.into_iter().map(|sound| member::Sound::new(sound, now)).collect()
}

/// Returns `count` randomly chosen items, or all if there are fewer.
fn random_subset<T>(items: impl Iterator<Item = T>, count: usize) -> Vec<T> {
  let mut items: Vec<T> = items.collect();
  while items.len() > count {
    items.swap_remove(rand::random_range(0..items.len()));
  }
  items
}

impl Gateway {
  /// Records which software version of a service began a stream, and notifies the other hosts.
  pub(super) fn record_origin(&self, stream: u64, service: &str, version: &str) {
    let now = self.clock.now();
    let mut state = self.lock();
    state.origins.record_version(ingress::hash(service), version, now, now);
    let interval = member::heartbeat_interval(state.members.fleet_size());
    state.origins.record(stream, version, now + interval * ORIGIN_HEARTBEATS, now);
    drop(state);
    self.heartbeat_trigger.notify_one();
  }
}

/// Applies the heartbeat of another host.
pub(super) fn receive(gateway: &Gateway, heartbeat: &Heartbeat) {
  let received_at = gateway.clock.now();
  let now = gateway.clock.since_boot();
  let mut state = gateway.lock();
  let Some(received) = state.members.receive(heartbeat, now) else {
    return;
  };
  let is_current = merge_era(&mut state, heartbeat, gateway);
  let version = state.catalog_version();
  if heartbeat.catalog_version == version
    && version > 0
    && let Some(confirmed_at) = received.confirmed_at
  {
    state.freshness.confirm(confirmed_at);
  }
  let operator_version = reader::Version::new(heartbeat.operator_era, heartbeat.operator_revision);
  if is_current && operator_version > state.operator_version {
    state.operator_version = operator_version;
    state.roster.set_evacuated(heartbeat.evacuated.iter().cloned());
  }
  for origin in &heartbeat.origins {
    for stream in &origin.streams {
      state.origins.merge(*stream, &origin.version, received_at);
    }
  }
  merge_versions(&mut state, heartbeat, &received, received_at);
  state.merge_account_uses(received.sender, &heartbeat.account_uses);
  state.merge_waiting(received.sender, &heartbeat.waiting, received_at);
  let departures = heartbeat.leaving.iter();
  let departing: Vec<_> = departures
    .filter_map(|departure| state.roster.merge_departure(&(*departure).into(), received_at))
    .collect();
  if is_current && state.targets_listed_at.is_some() {
    // The first builds that announce targets do not state their versions; those targets are listed.
    let states_versions = state.members.get(received.sender).is_some_and(|host| host.can_assist);
    let is_complete =
      |announcement: &&Announcement| states_versions || !announcement.version.is_empty();
    let announcements = heartbeat.announcements.iter().filter(is_complete);
    for announcement in announcements.filter_map(|announcement| announcement.target()) {
      let roster::Announcement {
        id,
        listing,
        version,
      } = announcement;
      state.roster.put(&id, version, Some(listing), received_at);
    }
  }
  if is_current
    && let Some(confirmed_at) = received.targets_confirmed_at
    && heartbeat.targets_digest == Some(state.roster.digest(received_at))
  {
    state.targets_freshness.confirm(confirmed_at);
  }
  drop(state);
  if !heartbeat.announcements.is_empty() {
    gateway.scheduler.notify_waiters();
  }
  if !departing.is_empty() {
    gateway.announce_departures(&departing, HOST_SOURCE);
  }
  merge_held_prompts(gateway, heartbeat, received.sender, received_at);
  record_loads(gateway, heartbeat, received.sender);
  gateway.merge_crashes(heartbeat, received_at);
  gateway.merge_limits(heartbeat, received_at);
  gateway.merge_paces(heartbeat, received_at);
  if heartbeat.catalog_version > version
    && gateway.lock().catalog_transfer.try_start(received.sender)
  {
    tokio::spawn(fetch_newer_catalogs(gateway.clone(), received.sender));
  }
}

/// Merges the software versions that another host lists, and what it proves by that.
fn merge_versions(
  state: &mut State,
  heartbeat: &Heartbeat,
  received: &Received,
  received_at: Instant,
) {
  let mut has_room = true;
  for reported in &heartbeat.versions {
    let last_seen = reported.last_seen(received_at);
    has_room &=
      state.origins.record_version(reported.service, &reported.version, last_seen, received_at);
  }
  if has_room
    && state.targets_listed_at.is_some()
    && let Some(coverage) = received.coverage
  {
    state.origins.extend_coverage(coverage);
  }
}

/// Merges what another host knows of restores of the platform's store; returns whether it knows
/// the newest era.
fn merge_era(state: &mut State, heartbeat: &Heartbeat, gateway: &Gateway) -> bool {
  let is_current = heartbeat.era.is_some_and(|era| state.observe_era(era, &gateway.clock));
  let Some(age) = heartbeat.restore_age_ms.filter(|_| is_current).map(Duration::from_millis) else {
    return is_current;
  };
  state.era.observe_restore(age, gateway.clock.since_boot());
  let held_until = gateway.clock.now() + EVACUATION_HOLD.saturating_sub(age);
  state.roster.hold_evacuations(heartbeat.held_evacuations.iter().cloned(), held_until);
  is_current
}

/// Records the load that another host has at the targets; a host that shuts down and has none
/// left is removed.
fn record_loads(gateway: &Gateway, heartbeat: &Heartbeat, sender: SocketAddr) {
  let is_shutting_down = Phase::from_number(heartbeat.phase) == Phase::Leaving;
  let loads: HashMap<_, _> =
    heartbeat.loads.iter().map(|load| (load.target, load.load())).collect();
  let mut load_table = gateway.scheduler.lock();
  if is_shutting_down && loads.is_empty() {
    load_table.remove_host(sender);
  } else {
    load_table.set_peer_loads(sender, loads);
  }
}

/// Fetches catalogs from other hosts until none of them has a newer one.
async fn fetch_newer_catalogs(gateway: Gateway, first: SocketAddr) {
  let mut next = Some(first);
  while let Some(host) = next {
    let above = gateway.lock().catalog_version();
    match member::fetch_catalog(host, above).await {
      Ok(bytes) if bytes.is_empty() => {}
      Ok(bytes) => gateway.apply_catalog(bytes, None, HOST_SOURCE),
      Err(error) => {
        log::warn!(target: PREFIX, host:% = host, above, error:% = error; "Fetching the catalog of another host failed.");
        time::sleep(FETCH_RETRY_DELAY).await;
      }
    }
    let now = gateway.clock.since_boot();
    let mut state = gateway.lock();
    let newer = state.members.with_catalog_above(state.catalog_version(), now);
    next = state.catalog_transfer.advance(&newer, rand::random_range(0.0..1.0));
  }
}
