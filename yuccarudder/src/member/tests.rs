use {
  super::*,
  bytes::{Bytes, BytesMut},
  prost::Message,
  std::{net::SocketAddr, time::Duration},
  tokio_util::codec::Decoder,
};

fn address(host: u8) -> SocketAddr {
  ([10, 0, 0, host], 7200).into()
}

fn ms(ms: u64) -> Duration {
  Duration::from_millis(ms)
}

fn pulse(host: u8, sequence: u64) -> Heartbeat {
  Heartbeat {
    callers: address(host).to_string(),
    catalog_age_ms: Some(100),
    catalog_version: 1,
    echo: None,
    evacuated: Vec::new(),
    operator_revision: 0,
    incarnation: u64::from(host),
    leaving: Vec::new(),
    loads: Vec::new(),
    members: Vec::new(),
    phase: Phase::Ready.number(),
    reads: true,
    sender: address(host).to_string(),
    sequence,
    weight: 250,
  }
}

fn table() -> Table {
  Table::new(address(1), 1, vec![address(1), address(2)])
}

fn addresses(table: &mut Table, now: Duration) -> Vec<SocketAddr> {
  table.recipients(now).0.into_iter().map(|known| known.address).collect()
}

#[test]
fn seeds_but_not_this_host_are_sent_pulses() {
  assert_eq!(addresses(&mut table(), ms(0)), [address(2)]);
}

#[test]
fn hosts_that_others_know_are_sent_pulses() {
  let mut table = table();
  let mut heard = pulse(2, 1);
  heard.members = vec![address(1).to_string(), address(3).to_string(), "?".into()];
  table.receive(&heard, ms(0)).unwrap();
  assert_eq!(addresses(&mut table, ms(0)), [address(2), address(3)]);
}

#[test]
fn silent_host_is_not_live_and_forgotten_later() {
  let mut table = table();
  table.receive(&pulse(3, 1), ms(0)).unwrap();
  assert_eq!(table.live(ms(1299)).count(), 1);
  assert_eq!(table.live(ms(1300)).count(), 0);
  assert_eq!(table.fleet_size(), 2);
  let (known, forgotten) = table.recipients(ms(60_000));
  assert_eq!((known.len(), forgotten), (1, vec![address(3)]));
}

#[test]
fn pulses_that_overtake_each_other_change_nothing() {
  let mut table = table();
  table.receive(&pulse(2, 5), ms(0)).unwrap();
  assert!(table.receive(&pulse(2, 4), ms(10)).is_none());
  let mut another_process = pulse(2, 1);
  another_process.incarnation = 99;
  assert!(table.receive(&another_process, ms(20)).is_some());
}

#[test]
fn own_pulses_and_bad_addresses_are_dropped() {
  let mut table = table();
  assert!(table.receive(&pulse(1, 1), ms(0)).is_none());
  let mut bad = pulse(2, 1);
  bad.sender = "nowhere".into();
  assert!(table.receive(&bad, ms(0)).is_none());
}

/// Names a case: the process and number that a pulse echoes, when it came, and the time
/// that the sender's confirmation is not older than.
macro_rules! anchors {
  ($name:ident, $incarnation:expr, $sequence:expr, $at:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut table = table();
      for (sequence, at) in [(1, ms(1_000)), (2, ms(1_200))] {
        table.record_sent(Sent { at, sequence });
      }
      let mut heard = pulse(2, 1);
      heard.echo = Some(Echo {
        incarnation: $incarnation,
        sequence: $sequence,
      });
      let news = table.receive(&heard, $at).unwrap();
      assert_eq!(news.confirmed, $expected);
    }
  };
}

anchors!(
  age_counts_from_the_echoed_pulse,
  1,
  2,
  ms(1_250),
  Some(ms(1_100))
);
anchors!(
  time_on_the_way_does_not_make_it_younger,
  1,
  1,
  ms(9_000),
  Some(ms(900))
);
anchors!(
  echo_of_an_earlier_process_proves_nothing,
  7,
  2,
  ms(1_250),
  None
);
anchors!(
  echo_of_a_pulse_that_is_forgotten_proves_nothing,
  1,
  3,
  ms(1_250),
  None
);

#[test]
fn pulse_without_echo_proves_nothing() {
  assert_eq!(
    table().receive(&pulse(2, 1), ms(0)).unwrap().confirmed,
    None
  );
}

#[test]
fn datagrams_that_cannot_be_read_are_dropped() {
  let mut buffer = BytesMut::from(&b"\xff\xff"[..]);
  assert_eq!(Codec.decode(&mut buffer).unwrap(), Some(None));
  assert!(buffer.is_empty());
  let mut buffer = BytesMut::from(&pulse(2, 1).encode_to_vec()[..]);
  assert_eq!(Codec.decode(&mut buffer).unwrap(), Some(Some(pulse(2, 1))));
}

#[test]
fn phases_keep_their_numbers() {
  for phase in [Phase::Leaving, Phase::Ready, Phase::Starting] {
    assert_eq!(Phase::from_number(phase.number()), phase);
  }
  assert_eq!(Phase::from_number(77), Phase::Starting);
}

#[test]
fn new_process_leaves_duties_to_others_until_it_has_heard_of_them() {
  let mut table = table();
  assert_eq!(table.rank(250, ms(0)), usize::MAX);
  table.record_sent(Sent {
    at: ms(0),
    sequence: 1,
  });
  assert_eq!(table.rank(250, ms(599)), usize::MAX);
  assert_eq!(table.rank(250, ms(600)), 0);
  let mut heavy = pulse(2, 1);
  heavy.weight = 500;
  table.receive(&heavy, ms(10)).unwrap();
  assert_eq!(table.rank(250, ms(10)), 1);
}

#[test]
fn only_host_has_all_duties_at_once() {
  let table = Table::new(address(1), 1, vec![address(1)]);
  assert_eq!(table.rank(250, ms(0)), 0);
}

#[test]
fn hosts_that_read_and_carry_more_go_first() {
  let mut table = Table::new(address(3), 3, Vec::new());
  let mut heavy = pulse(9, 1);
  heavy.weight = 500;
  let mut deaf = pulse(1, 1);
  deaf.reads = false;
  for pulse in [heavy, deaf, pulse(2, 1), pulse(4, 1)] {
    table.receive(&pulse, ms(0)).unwrap();
  }
  assert_eq!(table.rank(250, ms(0)), 2);
  assert_eq!(table.rank(1_000, ms(0)), 0);
}

#[test]
fn all_hosts_are_ranked_while_nobody_reads() {
  let mut table = Table::new(address(3), 3, Vec::new());
  for host in [1, 2, 4] {
    let mut deaf = pulse(host, 1);
    deaf.reads = false;
    table.receive(&deaf, ms(0)).unwrap();
  }
  assert_eq!(table.rank(250, ms(0)), 2);
}

/// Names a case: hosts of a fleet, the period of pulses and the silence after which a
/// host counts as gone, in milliseconds.
macro_rules! cadences {
  ($name:ident, $hosts:expr, $period:expr, $silence:expr) => {
    #[test]
    fn $name() {
      assert_eq!(heartbeat_interval($hosts), ms($period));
      assert_eq!(failure_timeout($hosts), ms($silence));
    }
  };
}

cadences!(few_hosts, 6, 200, 1_300);
cadences!(twice_the_hosts_of_the_shortest_period, 30, 400, 1_400);
cadences!(target_size, 350, 1_000, 3_500);

#[test]
fn many_hosts_with_a_newer_catalog_are_asked_one_at_a_time() {
  let mut intake = CatalogSource::default();
  let begun = (1..=70).filter(|host| intake.try_start(address(*host))).count();
  assert_eq!(begun, 1);
}

/// Names a case: the hosts with a newer catalog after host 1 was asked, and who is next.
macro_rules! asks_next {
  ($name:ident, $newer:expr, $random:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut intake = CatalogSource::default();
      assert!(intake.try_start(address(1)));
      let newer: Vec<SocketAddr> = $newer.into_iter().map(address).collect();
      let expected: Option<u8> = $expected;
      assert_eq!(intake.advance(&newer, $random), expected.map(address));
      assert_eq!(intake.try_start(address(9)), expected.is_none());
    }
  };
}

asks_next!(nobody_has_a_newer_one, [], 0.0, None);
asks_next!(another_host_goes_before_the_same, [1, 2], 0.0, Some(2));
asks_next!(the_same_host_where_it_is_the_only_one, [1], 0.9, Some(1));
asks_next!(others_are_taken_at_random, [1, 2, 3, 4], 0.99, Some(4));

#[test]
fn hosts_with_a_newer_catalog_are_known_while_they_live() {
  let mut table = table();
  let mut newer = pulse(3, 1);
  newer.catalog_version = 5;
  table.receive(&newer, ms(0)).unwrap();
  table.receive(&pulse(2, 1), ms(0)).unwrap();
  assert_eq!(table.with_catalog_above(4, ms(10)), [address(3)]);
  assert!(table.with_catalog_above(5, ms(10)).is_empty());
  assert!(table.with_catalog_above(4, ms(5_000)).is_empty());
}

#[tokio::test]
async fn catalog_with_many_routes_is_small_on_the_way_and_whole_at_its_end() {
  let route = "- name: lookup\n  host: a.example\n  prefix: /lookup/\n  kind: repeatable\n";
  let catalog = Bytes::from(route.repeat(4_000));
  let packed = compress_catalog(&catalog);
  assert!(packed.len() * 10 < catalog.len());
  let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let catalogs = move |above| {
    if above < 3 {
      packed.clone()
    } else {
      Bytes::new()
    }
  };
  tokio::spawn(serve_catalog(listener, std::sync::Arc::new(catalogs)));
  assert_eq!(fetch_catalog(address, 2).await.unwrap(), catalog);
  assert!(fetch_catalog(address, 3).await.unwrap().is_empty());
}

#[test]
fn pulses_name_fewer_hosts_when_the_fleet_is_settled() {
  let mut table = table();
  table.receive(&pulse(2, 1), ms(1_000)).unwrap();
  assert_eq!(table.members_per_heartbeat(ms(10_999)), 8);
  table.receive(&pulse(2, 2), ms(10_999)).unwrap();
  assert_eq!(table.members_per_heartbeat(ms(11_000)), 1);
  table.receive(&pulse(3, 1), ms(12_000)).unwrap();
  assert_eq!(table.members_per_heartbeat(ms(12_000)), 8);
}
