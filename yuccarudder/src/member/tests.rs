use {
  super::*,
  crate::{origin::Coverage, pace, placement, reader, roster},
  bytes::{Bytes, BytesMut},
  prost::Message,
  rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tokio_util::codec::Decoder,
};

fn address(host: u8) -> SocketAddr {
  ([10, 0, 0, host], 7200).into()
}

fn ms(milliseconds: u64) -> Duration {
  Duration::from_millis(milliseconds)
}

fn heartbeat(host: u8, sequence: u64) -> Heartbeat {
  Heartbeat {
    account_uses: Vec::new(),
    held_prompts: Vec::new(),
    paces: Vec::new(),
    waiting: Vec::new(),
    announcements: Vec::new(),
    bans: Vec::new(),
    callers: address(host).to_string(),
    catalog_age_ms: Some(100),
    catalog_version: 1,
    crashes: Vec::new(),
    echo: None,
    era: None,
    evacuated: Vec::new(),
    held_evacuations: Vec::new(),
    operator_era: 0,
    operator_revision: 0,
    restore_age_ms: None,
    incarnation: u64::from(host),
    leaving: Vec::new(),
    limits: Vec::new(),
    loads: Vec::new(),
    members: Vec::new(),
    origins: Vec::new(),
    phase: Phase::Ready.number(),
    protocol: PROTOCOL,
    reads: true,
    rooms: Vec::new(),
    sender: address(host).to_string(),
    sequence,
    sounds: Vec::new(),
    targets_age_ms: None,
    targets_digest: None,
    brittle: Vec::new(),
    unreachable_services: Vec::new(),
    versions: Vec::new(),
    versions_known_for_ms: None,
    versions_known_until_ms: None,
    versions_remembered_for_ms: None,
    weight: 250,
  }
}

fn table() -> Table {
  Table::new(address(1), 1, vec![address(1), address(2)])
}

#[test]
fn order_does_not_depend_on_who_reads_the_platform() {
  let mut table = Table::new(address(9), 1, vec![address(2)]);
  for host in 2..6 {
    let received = Heartbeat {
      reads: host == 5,
      ..heartbeat(host, 1)
    };
    table.receive(&received, ms(0)).unwrap();
  }
  table.record_sent(Sent {
    at: ms(0),
    sequence: 1,
  });
  let now = ms(600);
  assert_eq!((table.rank(250, now), table.order(250, now)), (1, 4));
  assert_eq!(table.order(1_000, now), 0);
}

#[test]
fn process_that_heard_from_no_other_host_is_last_in_order() {
  let table = Table::new(address(1), 1, vec![address(2)]);
  assert_eq!(table.order(250, ms(0)), usize::MAX);
}

#[test]
fn digests_of_silent_readers_are_ignored() {
  let mut table = table();
  let received = Heartbeat {
    targets_digest: Some(7),
    ..heartbeat(2, 1)
  };
  table.receive(&received, ms(0)).unwrap();
  table.receive(&heartbeat(3, 1), ms(0)).unwrap();
  assert_eq!(table.target_digests(ms(100)).collect::<Vec<_>>(), [7]);
  assert_eq!(table.target_digests(ms(5_000)).count(), 0);
}

fn recipients(table: &mut Table, now: Duration) -> Vec<SocketAddr> {
  table.recipients(now).0.into_iter().map(|recipient| recipient.address).collect()
}

#[test]
fn heartbeats_go_to_the_seeds_but_not_to_this_host() {
  assert_eq!(recipients(&mut table(), ms(0)), [address(2)]);
}

#[test]
fn heartbeats_go_to_hosts_that_other_hosts_list() {
  let mut table = table();
  let mut received = heartbeat(2, 1);
  received.members = vec![address(1).to_string(), address(3).to_string(), "?".into()];
  table.receive(&received, ms(0)).unwrap();
  assert_eq!(recipients(&mut table, ms(0)), [address(2), address(3)]);
}

#[test]
fn silent_host_fails_first_and_is_removed_later() {
  let mut table = table();
  table.receive(&heartbeat(3, 1), ms(0)).unwrap();
  assert_eq!(table.live(ms(1299)).count(), 1);
  assert_eq!(table.live(ms(1300)).count(), 0);
  assert_eq!(table.fleet_size(), 2);
  let (recipients, removed) = table.recipients(ms(60_000));
  assert_eq!((recipients.len(), removed), (1, vec![address(3)]));
}

#[test]
fn reordered_heartbeats_are_ignored() {
  let mut table = table();
  table.receive(&heartbeat(2, 5), ms(0)).unwrap();
  assert!(table.receive(&heartbeat(2, 4), ms(10)).is_none());
  let mut restarted = heartbeat(2, 1);
  restarted.incarnation = 99;
  assert!(table.receive(&restarted, ms(20)).is_some());
}

#[test]
fn own_heartbeats_and_invalid_addresses_are_ignored() {
  let mut table = table();
  assert!(table.receive(&heartbeat(1, 1), ms(0)).is_none());
  let mut invalid = heartbeat(2, 1);
  invalid.sender = "nowhere".into();
  assert!(table.receive(&invalid, ms(0)).is_none());
}

/// Tests the confirmation time, given the incarnation and sequence number that a heartbeat
/// echoes and the time of its arrival.
macro_rules! confirms {
  ($name:ident, $incarnation:expr, $sequence:expr, $at:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut table = table();
      for (sequence, at) in [(1, ms(1_000)), (2, ms(1_200))] {
        table.record_sent(Sent { at, sequence });
      }
      let mut received = heartbeat(2, 1);
      received.echo = Some(Echo {
        held_ms: None,
        incarnation: $incarnation,
        sequence: $sequence,
      });
      let result = table.receive(&received, $at).unwrap();
      assert_eq!(result.confirmed_at, $expected);
    }
  };
}

confirms!(
  age_is_subtracted_from_the_send_time_of_the_echoed_heartbeat,
  1,
  2,
  ms(1_250),
  Some(ms(1_100))
);
confirms!(
  network_delay_does_not_make_the_confirmation_newer,
  1,
  1,
  ms(9_000),
  Some(ms(900))
);
confirms!(
  echo_of_an_earlier_incarnation_is_ignored,
  7,
  2,
  ms(1_250),
  None
);
confirms!(
  echo_of_an_unknown_heartbeat_is_ignored,
  1,
  3,
  ms(1_250),
  None
);

#[test]
fn heartbeat_without_echo_confirms_nothing() {
  assert_eq!(
    table().receive(&heartbeat(2, 1), ms(0)).unwrap().confirmed_at,
    None
  );
}

#[test]
fn undecodable_datagram_yields_none() {
  let mut buffer = BytesMut::from(&b"\xff\xff"[..]);
  assert_eq!(Codec.decode(&mut buffer).unwrap(), Some((None, 2)));
  assert!(buffer.is_empty());
  let datagram = heartbeat(2, 1).encode_to_vec();
  let mut buffer = BytesMut::from(&datagram[..]);
  assert_eq!(
    Codec.decode(&mut buffer).unwrap(),
    Some((Some(heartbeat(2, 1)), datagram.len()))
  );
}

#[test]
fn phases_convert_to_numbers_and_back() {
  for phase in [Phase::Leaving, Phase::Ready, Phase::Starting] {
    assert_eq!(Phase::from_number(phase.number()), phase);
  }
  assert_eq!(Phase::from_number(77), Phase::Starting);
}

#[test]
fn new_process_ranks_last_until_it_hears_from_others_or_times_out() {
  let mut table = table();
  assert_eq!(table.rank(250, ms(0)), usize::MAX);
  table.record_sent(Sent {
    at: ms(0),
    sequence: 1,
  });
  assert_eq!(table.rank(250, ms(599)), usize::MAX);
  assert_eq!(table.rank(250, ms(600)), 0);
}

/// A process that knows only some of the other hosts would rank too high.
#[test]
fn new_process_that_hears_from_others_ranks_last_for_some_time() {
  let mut table = table();
  table.record_sent(Sent {
    at: ms(0),
    sequence: 1,
  });
  let mut larger = heartbeat(2, 1);
  larger.weight = 500;
  table.receive(&larger, ms(10)).unwrap();
  assert_eq!(table.rank(250, ms(599)), usize::MAX);
  assert_eq!(table.rank(250, ms(600)), 1);
  assert_eq!(table.order(250, ms(10)), 1);
}

#[test]
fn single_host_ranks_first_at_once() {
  let table = Table::new(address(1), 1, vec![address(1)]);
  assert_eq!(table.rank(250, ms(0)), 0);
}

#[test]
fn hosts_that_read_the_platform_and_have_more_capacity_rank_first() {
  let mut table = Table::new(address(3), 3, Vec::new());
  let mut larger = heartbeat(9, 1);
  larger.weight = 500;
  let mut not_reading = heartbeat(1, 1);
  not_reading.reads = false;
  for heartbeat in [larger, not_reading, heartbeat(2, 1), heartbeat(4, 1)] {
    table.receive(&heartbeat, ms(0)).unwrap();
  }
  assert_eq!(table.rank(250, ms(0)), 2);
  assert_eq!(table.rank(1_000, ms(0)), 0);
}

#[test]
fn all_hosts_are_ranked_while_none_reads_the_platform() {
  let mut table = Table::new(address(3), 3, Vec::new());
  for host in [1, 2, 4] {
    let mut not_reading = heartbeat(host, 1);
    not_reading.reads = false;
    table.receive(&not_reading, ms(0)).unwrap();
  }
  assert_eq!(table.rank(250, ms(0)), 2);
}

/// Tests the heartbeat interval and the failure timeout, in milliseconds, of a fleet with a
/// number of hosts.
macro_rules! intervals {
  ($name:ident, $hosts:expr, $interval:expr, $timeout:expr) => {
    #[test]
    fn $name() {
      assert_eq!(heartbeat_interval($hosts), ms($interval));
      assert_eq!(failure_timeout($hosts), ms($timeout));
    }
  };
}

intervals!(small_fleet, 6, 200, 1_300);
intervals!(twice_the_small_fleet, 30, 400, 1_400);
intervals!(largest_planned_fleet, 350, 1_000, 3_500);

#[test]
fn only_one_catalog_transfer_runs_at_a_time() {
  let mut source = CatalogSource::default();
  let started = (1..=70).filter(|host| source.try_start(address(*host))).count();
  assert_eq!(started, 1);
}

/// Tests which host is next after a transfer from host 1, given the hosts with a newer catalog
/// and the random number.
macro_rules! advances {
  ($name:ident, $newer:expr, $random:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut source = CatalogSource::default();
      assert!(source.try_start(address(1)));
      let newer: Vec<SocketAddr> = $newer.into_iter().map(address).collect();
      let expected: Option<u8> = $expected;
      assert_eq!(source.advance(&newer, $random), expected.map(address));
      assert_eq!(source.try_start(address(9)), expected.is_none());
    }
  };
}

advances!(no_host_has_a_newer_catalog, [], 0.0, None);
advances!(another_host_is_preferred, [1, 2], 0.0, Some(2));
advances!(
  same_host_is_asked_again_if_it_is_the_only_one,
  [1],
  0.9,
  Some(1)
);
advances!(
  other_hosts_are_chosen_at_random,
  [1, 2, 3, 4],
  0.99,
  Some(4)
);

#[test]
fn only_live_hosts_with_a_newer_catalog_are_listed() {
  let mut table = table();
  let mut newer = heartbeat(3, 1);
  newer.catalog_version = 5;
  table.receive(&newer, ms(0)).unwrap();
  table.receive(&heartbeat(2, 1), ms(0)).unwrap();
  assert_eq!(table.with_catalog_above(4, ms(10)), [address(3)]);
  assert!(table.with_catalog_above(5, ms(10)).is_empty());
  assert!(table.with_catalog_above(4, ms(5_000)).is_empty());
}

#[tokio::test]
async fn catalog_is_compressed_on_the_wire_and_restored() {
  let route = "- name: lookup\n  host: a.example\n  prefix: /lookup/\n  kind: repeatable\n";
  let catalog = Bytes::from(route.repeat(4_000));
  let compressed = compress_catalog(&catalog);
  assert!(compressed.len() * 10 < catalog.len());
  let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let catalogs = move |above| {
    if above < 3 {
      compressed.clone()
    } else {
      Bytes::new()
    }
  };
  let handlers = Handlers {
    catalog: Box::new(catalogs),
    is_listening: Box::new(|_| Box::pin(async { None })),
  };
  tokio::spawn(serve_calls(listener, std::sync::Arc::new(handlers)));
  assert_eq!(fetch_catalog(address, 2).await.unwrap(), catalog);
  assert!(fetch_catalog(address, 3).await.unwrap().is_empty());
}

#[tokio::test]
async fn host_tells_others_whether_a_target_is_listening() {
  let answers = [None, Some(false), Some(true)];
  let handlers = Handlers {
    catalog: Box::new(|_| Bytes::new()),
    is_listening: Box::new(move |target| Box::pin(async move { answers[target as usize] })),
  };
  let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  tokio::spawn(serve_calls(listener, std::sync::Arc::new(handlers)));
  for (target, answer) in (0..).zip(answers) {
    assert_eq!(ask_is_listening(address, target).await.unwrap(), answer);
  }
}

#[test]
fn heartbeats_list_fewer_members_when_the_fleet_is_stable() {
  let mut table = table();
  table.receive(&heartbeat(2, 1), ms(1_000)).unwrap();
  assert_eq!(table.members_per_heartbeat(ms(10_999)), 8);
  table.receive(&heartbeat(2, 2), ms(10_999)).unwrap();
  assert_eq!(table.members_per_heartbeat(ms(11_000)), 1);
  table.receive(&heartbeat(3, 1), ms(12_000)).unwrap();
  assert_eq!(table.members_per_heartbeat(ms(12_000)), 8);
}

#[test]
fn announcement_survives_encoding() {
  let announced = roster::Announcement {
    id: "i-1".into(),
    listing: roster::Listing {
      address: address(4),
      started_ms: Some(7),
      data_centre: "kochi".into(),
      service: "llm".into(),
      slots: 24,
      state: roster::State::Available,
      version: "v1".into(),
      warmup_remaining: ms(1_500),
    },
    version: reader::Version::new(2, 9),
  };
  let bytes = Announcement::from(announced.clone()).encode_to_vec();
  let decoded = Announcement::decode(&bytes[..]).unwrap();
  assert_eq!(decoded.target(), Some(announced));
  let invalid = Announcement {
    address: "?".into(),
    ..decoded
  };
  assert_eq!(invalid.target(), None);
}

const SEEDS: usize = 3;
/// Hosts of a simulated fleet with more capacity than the others.
const LARGE_HOSTS: usize = 15;
/// Hosts that read the operator's documents for the others.
const READERS: usize = 5;

/// A host of a simulated fleet.
struct Host {
  is_reader: bool,
  next_send: Duration,
  sequence: u64,
  starts: u64,
  table: Table,
  weight: u32,
}

/// A fleet whose hosts exchange heartbeats in virtual time. All of them read the platform.
struct Fleet {
  hosts: Vec<Host>,
  /// Heartbeats that arrive at the next step, with their recipients.
  in_flight: Vec<(usize, Heartbeat)>,
  now: Duration,
  random: StdRng,
  /// How often each host became one of the readers in its own view.
  turns: Vec<usize>,
}

impl Fleet {
  const STEP: Duration = Duration::from_millis(10);

  fn address(host: usize) -> SocketAddr {
    let [.., high, low] = host.to_be_bytes();
    ([10, 1, high, low], 7200).into()
  }

  /// Starts all hosts within 200 ms.
  fn new(hosts: usize) -> Self {
    let mut random = StdRng::seed_from_u64(1);
    let start = |host| Host {
      is_reader: false,
      next_send: ms(random.random_range(0..200)),
      sequence: 0,
      starts: 1,
      table: Table::new(
        Self::address(host),
        1,
        (0..SEEDS).map(Self::address).collect(),
      ),
      // The seeds are small hosts.
      weight: if (SEEDS..SEEDS + LARGE_HOSTS).contains(&host) {
        500
      } else {
        120
      },
    };
    Self {
      hosts: (0..hosts).map(start).collect(),
      in_flight: Vec::new(),
      now: Duration::ZERO,
      random,
      turns: vec![0; hosts],
    }
  }

  fn restart(&mut self, host: usize) {
    let state = &mut self.hosts[host];
    state.starts += 1;
    state.sequence = 0;
    state.is_reader = false;
    state.next_send = self.now;
    let seeds = (0..SEEDS).map(Self::address).collect();
    state.table = Table::new(Self::address(host), state.starts, seeds);
  }

  /// Returns the hosts that are readers in their own view.
  fn readers(&self) -> usize {
    self.hosts.iter().filter(|host| host.is_reader).count()
  }

  fn run(&mut self, time: Duration) {
    let end = self.now + time;
    while self.now < end {
      self.now += Self::STEP;
      for (recipient, heartbeat) in std::mem::take(&mut self.in_flight) {
        self.hosts[recipient].table.receive(&heartbeat, self.now);
      }
      for index in 0..self.hosts.len() {
        self.send(index);
        let host = &mut self.hosts[index];
        // A process reads the platform before it sends its first heartbeat.
        let is_reader = host.table.rank(host.weight, self.now) < READERS;
        if is_reader && !host.is_reader {
          self.turns[index] += 1;
        }
        host.is_reader = is_reader;
      }
    }
  }

  /// Lets a host send a heartbeat if it is due.
  fn send(&mut self, index: usize) {
    let now = self.now;
    let host = &mut self.hosts[index];
    if host.next_send > now {
      return;
    }
    host.sequence += 1;
    let (recipients, _) = host.table.recipients(now);
    host.next_send = now + heartbeat_interval(recipients.len());
    let listed = host.table.members_per_heartbeat(now);
    let live: Vec<SocketAddr> = host.table.live(now).map(|(address, _)| address).collect();
    let members = live.sample(&mut self.random, listed).map(SocketAddr::to_string).collect();
    host.table.record_sent(Sent {
      at: now,
      sequence: host.sequence,
    });
    let sender = Self::address(index).to_string();
    let heartbeat = Heartbeat {
      callers: sender.clone(),
      incarnation: host.starts,
      members,
      sender,
      weight: host.weight,
      ..heartbeat(0, host.sequence)
    };
    for recipient in recipients {
      let std::net::IpAddr::V4(ip) = recipient.address.ip() else {
        panic!("{} is no host of the fleet", recipient.address);
      };
      let [.., high, low] = ip.octets();
      self.in_flight.push((usize::from(high) << 8 | usize::from(low), heartbeat.clone()));
    }
  }
}

/// All hosts of a large fleet start at once, as after a loss of power, and know only the seeds.
#[test]
fn hosts_that_start_together_do_not_all_read_the_platform_for_the_others() {
  let mut fleet = Fleet::new(295);
  fleet.run(ms(4_000));
  assert_eq!(fleet.readers(), READERS);
  let turns: usize = fleet.turns.iter().sum();
  assert!(turns <= fleet.hosts.len() / 10, "{turns}");
}

/// Hosts of a small fleet know each other soon.
#[test]
fn small_fleet_that_starts_has_readers_within_a_second() {
  let mut fleet = Fleet::new(6);
  fleet.run(ms(1_000));
  assert_eq!(fleet.readers(), READERS);
}

/// Returns how many requests a second all hosts of a fleet together may send to a target that bears `limit`.
fn turns(fleet: &Fleet, limit: f64) -> u32 {
  let limit = placement::ColdLimit {
    rate: limit,
    overage: 1.0,
    allowance: 0.0,
  };
  let places = fleet.hosts.iter().map(|host| {
    let position = host.table.settled_position(7, limit.window(), fleet.now);
    limit.share(host.table.fleet_size(), position).places()
  });
  places.sum()
}

/// Guards against hosts that take more turns together than there are while a fleet starts, its processes
/// are replaced, and hosts join it one after the other: a process takes none before all others count it.
#[test]
fn hosts_take_no_more_turns_than_there_are_while_they_find_each_other() {
  for (hosts, limit) in [(6, 6.5), (75, 36.5)] {
    let mut fleet = Fleet::new(hosts);
    let joining = hosts - hosts / 3;
    for host in joining..hosts {
      let later = (host - joining) as u64 * 100 % 3_000;
      fleet.hosts[host].next_send = ms(5_000 + later);
    }
    for step in 0..130 {
      if step == 70 {
        (3..joining).step_by(4).for_each(|host| fleet.restart(host));
      }
      fleet.run(ms(100));
      let taken = turns(&fleet, limit);
      assert!(
        f64::from(taken) <= limit,
        "{taken} turns of {hosts} hosts after step {step}"
      );
    }
    assert_eq!(turns(&fleet, limit), limit as u32, "{hosts} hosts");
  }
}

/// Hosts of a settled fleet are replaced one after the other.
#[test]
fn restarted_host_does_not_read_the_platform_for_the_others_unless_it_is_among_the_first() {
  let mut fleet = Fleet::new(75);
  fleet.run(ms(5_000));
  fleet.turns.fill(0);
  for host in 40..60 {
    fleet.restart(host);
    fleet.run(ms(200));
  }
  fleet.run(ms(5_000));
  assert_eq!(fleet.turns.iter().sum::<usize>(), 0, "{:?}", fleet.turns);
}

/// Guards against help that is not asked of hosts of the last build that states no protocol.
#[test]
fn host_of_an_older_build_can_assist_once_it_said_for_how_long_it_knows_versions() {
  let older = |sequence, versions_known_for_ms| Heartbeat {
    protocol: 0,
    versions_known_for_ms,
    ..heartbeat(2, sequence)
  };
  let mut table = table();
  let mut can_assist = |heartbeat| {
    table.receive(&heartbeat, ms(0)).unwrap();
    table.live(ms(0)).all(|(_, member)| member.can_assist)
  };
  assert!(!can_assist(older(1, None)));
  assert!(can_assist(older(2, Some(0))));
  assert!(can_assist(older(3, None)));
  let restarted = Heartbeat {
    incarnation: 7,
    ..older(1, None)
  };
  assert!(!can_assist(restarted));
}

/// Guards against a request that a host of the last build that states no protocol takes for one of a caller, as
/// it is told more of it than three values.
#[test]
fn host_of_a_build_that_states_no_protocol_is_told_three_values() {
  let passes_over = |heartbeat| {
    let mut table = table();
    table.receive(&heartbeat, ms(0)).unwrap();
    table.live(ms(0)).all(|(_, member)| member.passes_over_further_values)
  };
  let older = Heartbeat {
    protocol: 0,
    versions_known_for_ms: Some(0),
    ..heartbeat(2, 1)
  };
  assert!(!passes_over(older));
  assert!(passes_over(heartbeat(2, 1)));
}

/// Guards against hosts of a build that does not know rooms, whose silence would count as a finding.
#[test]
fn room_is_told_as_it_was_found_and_its_absence_tells_nothing() {
  let now = Instant::now();
  let mut room = placement::Room::default();
  room.record_exceeded(placement::Sighting {
    at: now - ms(400),
    places: 6,
  });
  room.record_taken(placement::Sighting {
    at: now - ms(100),
    places: 4,
  });
  let message = Room::decode(&*Room::new(1, &room, now).encode_to_vec()).unwrap();
  assert_eq!(message.room(now), room);
  let empty = Room::decode(&*Room::default().encode_to_vec()).unwrap();
  assert_eq!(empty.room(now), placement::Room::default());
  let older = Heartbeat {
    rooms: Vec::new(),
    ..heartbeat(2, 1)
  };
  let decoded = Heartbeat::decode(&*older.encode_to_vec()).unwrap();
  assert!(decoded.rooms.is_empty());
}

/// Defines a test of the software versions that a heartbeat proves to know, received at 1,000 ms: its echo
/// of the heartbeat sent at 600 ms or none, the fields of the known time, and the expected age and end of
/// that time in milliseconds.
macro_rules! proves_versions {
  ($name:ident, $echo:expr, $known_for:expr, $known_until:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut table = table();
      table.record_sent(Sent {
        at: ms(600),
        sequence: 5,
      });
      let received = Heartbeat {
        echo: $echo.then_some(Echo {
          held_ms: None,
          incarnation: 1,
          sequence: 5,
        }),
        versions_known_for_ms: $known_for,
        versions_known_until_ms: $known_until,
        ..heartbeat(2, 1)
      };
      let coverage = table.receive(&received, ms(1_000)).unwrap().coverage;
      let expected: Option<(u64, u64)> = $expected;
      let expected = expected.map(|(age, until)| Coverage::new(ms(age), ms(1_000), ms(until)));
      assert_eq!(coverage, expected);
    }
  };
}

proves_versions!(
  versions_known_up_to_the_echo,
  true,
  Some(900),
  Some(0),
  Some((900, 600))
);
proves_versions!(
  versions_known_some_time_ago,
  true,
  Some(900),
  Some(300),
  Some((900, 300))
);
proves_versions!(versions_without_an_echo, false, Some(900), Some(0), None);
// Older builds do not say whether they are in touch.
proves_versions!(versions_of_an_older_build, true, Some(900), None, None);
proves_versions!(
  versions_known_after_the_echo_only,
  true,
  Some(300),
  Some(0),
  None
);

/// Tests when the sender of a heartbeat confirmed its targets, given the number of the heartbeat that it echoes
/// (5 was sent at 600 ms) and the milliseconds for which it held that one and since its confirmation; the heartbeat
/// is received at 1,000 ms.
macro_rules! confirms_targets {
  ($name:ident, $echo:expr, $held:expr, $age:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut table = table();
      table.record_sent(Sent {
        at: ms(600),
        sequence: 5,
      });
      let received = Heartbeat {
        echo: Some(Echo {
          held_ms: $held,
          incarnation: 1,
          sequence: $echo,
        }),
        targets_age_ms: $age,
        ..heartbeat(2, 1)
      };
      let confirmed_at = table.receive(&received, ms(1_000)).unwrap().targets_confirmed_at;
      assert_eq!(confirmed_at, Option::<u64>::map($expected, ms));
    }
  };
}

confirms_targets!(
  targets_confirmed_before_the_echoed_heartbeat,
  5,
  Some(0),
  Some(500),
  Some(100)
);
confirms_targets!(
  targets_confirmed_while_the_echoed_heartbeat_was_held,
  5,
  Some(350),
  Some(200),
  Some(750)
);
confirms_targets!(
  targets_are_confirmed_no_later_than_the_heartbeat_arrives,
  5,
  Some(u64::MAX),
  Some(200),
  Some(1_000)
);
confirms_targets!(targets_without_an_echo, 4, Some(350), Some(200), None);
confirms_targets!(
  targets_of_a_host_that_confirms_none,
  5,
  Some(350),
  None,
  None
);
confirms_targets!(targets_of_an_older_build, 5, None, Some(200), None);

#[test]
fn echoes_tell_for_how_long_a_heartbeat_was_held() {
  let mut table = table();
  table.receive(&heartbeat(2, 7), ms(1_000)).unwrap();
  let (recipients, _) = table.recipients(ms(1_340));
  let echo = recipients.iter().find_map(|recipient| recipient.echo).unwrap();
  assert_eq!((echo.sequence, echo.held_ms), (7, Some(340)));
}

/// Returns the heartbeat of a host that tells the versions that it remembers since before the test, and
/// echoes the heartbeat of the given number.
fn remembering(host: u8, sequence: u64, echo: u64) -> Heartbeat {
  Heartbeat {
    echo: Some(Echo {
      held_ms: None,
      incarnation: 1,
      sequence: echo,
    }),
    versions_remembered_for_ms: Some(300_000),
    ..heartbeat(host, sequence)
  }
}

/// Returns a table that has sent two heartbeats and heard from two hosts that echo them.
fn told_table() -> Table {
  let mut table = table();
  for sequence in 1..3 {
    table.record_sent(Sent {
      at: ms(100 * sequence),
      sequence,
    });
  }
  table.receive(&remembering(2, 1, 1), ms(300)).unwrap();
  table.receive(&remembering(3, 1, 2), ms(300)).unwrap();
  table
}

#[test]
fn versions_are_told_up_to_the_oldest_echo() {
  let mut table = told_table();
  assert_eq!(table.stated_until(ms(0), ms(400)), Some(ms(100)));
  table.receive(&remembering(2, 2, 2), ms(400)).unwrap();
  assert_eq!(table.stated_until(ms(0), ms(400)), Some(ms(200)));
}

#[test]
fn host_without_others_is_told_all() {
  let table = Table::new(address(1), 1, vec![address(1)]);
  assert_eq!(table.stated_until(ms(0), ms(400)), Some(ms(400)));
}

/// Guards against a host that takes the silence of another one for news: a seed that it has never heard, a
/// host that another one mentioned, one of which it heard for the last time long ago, a new process, and
/// one of an older build.
#[test]
fn versions_of_hosts_that_have_not_told_them_are_unknown() {
  let unheard = Table::new(address(1), 1, vec![address(2)]);
  assert_eq!(unheard.stated_until(ms(0), ms(400)), None);
  let mentioning = Heartbeat {
    members: vec![address(4).to_string()],
    ..remembering(2, 2, 2)
  };
  let restarted = Heartbeat {
    incarnation: 9,
    versions_remembered_for_ms: Some(0),
    ..remembering(2, 1, 2)
  };
  let older = Heartbeat {
    incarnation: 9,
    ..heartbeat(2, 1)
  };
  for received in [mentioning, restarted, older] {
    let mut table = told_table();
    table.receive(&received, ms(400)).unwrap();
    assert_eq!(table.stated_until(ms(0), ms(400)), None);
  }
  let mut table = told_table();
  let later = ms(300) + Duration::from_secs(60);
  table.receive(&remembering(2, 2, 2), later).unwrap();
  table.recipients(later);
  assert_eq!(table.fleet_size(), 2);
  assert_eq!(table.stated_until(later, later), None);
  table.receive(&remembering(3, 2, 2), later).unwrap();
  assert_eq!(table.stated_until(later, later), Some(ms(200)));
}

/// Guards against the silence of an older build, whose heartbeats lack the field, that counts as news, and against
/// paces that older builds can't read past.
#[test]
fn heartbeat_without_paces_has_no_news() {
  /// The fields that an older build knows.
  #[derive(Clone, PartialEq, prost::Message)]
  struct Older {
    #[prost(string, tag = "1")]
    callers: String,
  }
  let older = Older {
    callers: address(2).to_string(),
  };
  let decode = |bytes: Vec<u8>| Codec.decode(&mut bytes.as_slice().into()).unwrap().unwrap().0;
  let received = decode(older.encode_to_vec()).unwrap();
  assert_eq!(
    (received.callers, received.paces),
    (older.callers.clone(), Vec::new())
  );
  let sent = Heartbeat {
    paces: vec![pace::Message {
      target: 7,
      gaps: 16,
      streamed_ms: 800,
      exposure: vec![pace::Exposure {
        bucket: 6,
        streamed_ms: 800,
        broken: 1,
      }],
    }],
    ..heartbeat(2, 1)
  };
  assert_eq!(Older::decode(sent.encode_to_vec().as_slice()), Ok(older));
  assert_eq!(decode(sent.encode_to_vec()), Some(sent));
}
