//! Messages between hosts of this build and of older ones, as during a rolling upgrade.
//!
//! `messages/` holds messages that older builds wrote, named for the commits. Of those with every field
//! that their build knows, a test states what this build reads; a new field is added to neither.

use {
  bytes::Bytes,
  prost::Message,
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
  },
  yuccarudder::{
    member::{
      self, Announcement, Ban, Brittle, Crash, Echo, Handlers, Heartbeat, Leaving, Limit, Load,
      Origin, Phase, ServiceVersion, Sound, Table,
    },
    origin, placement,
    quarantine::Feature,
    reader, roster,
  },
};

/// Version of the catalog in the calls.
const CATALOG_VERSION: u64 = 17;
const CATALOG: &[u8] = b"the catalog";

/// Returns what this build reads in a heartbeat with the fields that all builds know.
fn first_fields() -> Heartbeat {
  Heartbeat {
    callers: "10.0.0.2:8740".into(),
    catalog_age_ms: Some(120),
    catalog_version: CATALOG_VERSION,
    echo: Some(Echo {
      held_ms: None,
      incarnation: 0xa1a2_a3a4_a5a6_a7a8,
      sequence: 41,
    }),
    evacuated: vec!["kollam".into()],
    operator_revision: 33,
    incarnation: 0xb1b2_b3b4_b5b6_b7b8,
    leaving: vec![Leaving {
      leaves_in_ms: Some(1_500),
      revision: 31,
      target: 11,
      ..Leaving::default()
    }],
    loads: vec![Load {
      arriving: 1,
      copying: 2,
      held: 3,
      runs: 4,
      target: 12,
      tokens: 5,
    }],
    members: vec!["10.0.0.3:7200".into()],
    phase: Phase::Ready.number(),
    reads: true,
    sender: "10.0.0.2:7200".into(),
    sequence: 42,
    weight: 250,
    ..Heartbeat::default()
  }
}

/// Adds the fields of restored stores and announced targets.
fn with_eras() -> Heartbeat {
  let mut heartbeat = first_fields();
  heartbeat.leaving[0].era = 2;
  heartbeat.leaving[0].is_own_statement = true;
  Heartbeat {
    era: Some(2),
    held_evacuations: vec!["tvm".into()],
    operator_era: 2,
    restore_age_ms: Some(700),
    targets_digest: Some(0xc1c2_c3c4_c5c6_c7c8),
    announcements: vec![Announcement {
      address: "10.0.1.1:9000".into(),
      data_centre: "kochi".into(),
      era: 2,
      id: "e-1".into(),
      revision: 30,
      service: "llm".into(),
      slots: 24,
      started_ms: Some(1_700_000_000_000),
      version: String::new(),
      warmup_remaining_ms: 900,
    }],
    ..heartbeat
  }
}

/// Adds the fields of bans and limits, which once knew prompt parts only.
fn with_limits() -> Heartbeat {
  Heartbeat {
    bans: vec![Ban {
      crashes: 3,
      first_crash_age_ms: 5_000,
      last_crash_age_ms: 2_000,
      prompt_parts: vec![71, 72],
      ..Ban::default()
    }],
    crashes: vec![Crash {
      age_ms: 400,
      prompt_parts: vec![71],
      target: 13,
      ..Crash::default()
    }],
    sounds: vec![Sound {
      age_ms: 250,
      feature: 74,
      is_content: false,
    }],
    limits: vec![
      Limit {
        age_ms: 90,
        rate: Some(2.5),
        target: 14,
      },
      Limit {
        age_ms: 80,
        rate: None,
        target: 15,
      },
    ],
    ..with_eras()
  }
}

/// Adds the fields of contents and software versions.
fn with_versions() -> Heartbeat {
  let mut heartbeat = with_limits();
  heartbeat.announcements[0].version = "v1".into();
  heartbeat.bans[0].content = Some(73);
  heartbeat.bans[0].is_uncertain = true;
  heartbeat.crashes[0].content = Some(73);
  heartbeat.crashes[0].run_ms = 60;
  heartbeat.crashes[0].service = 21;
  heartbeat.sounds[0].is_content = true;
  Heartbeat {
    origins: vec![Origin {
      streams: vec![81, 82],
      version: "v1".into(),
    }],
    versions: vec![ServiceVersion {
      age_ms: 0,
      service: 21,
      version: "v1".into(),
    }],
    ..heartbeat
  }
}

/// Adds the fields of lost links and brittle targets.
fn with_links() -> Heartbeat {
  let mut heartbeat = with_versions();
  heartbeat.versions[0].age_ms = 61_000;
  Heartbeat {
    unreachable_services: vec![22],
    versions_known_for_ms: Some(64_000),
    brittle: vec![Brittle {
      age_ms: 70,
      service: 23,
      tolerance: Some(3.0),
    }],
    ..heartbeat
  }
}

/// Guards against hosts that read the heartbeats of older builds otherwise than these meant them. The name
/// is that of the commit.
macro_rules! heartbeat_test {
  ($name:ident, $file:literal, $expected:expr, $can_assist:expr) => {
    #[test]
    fn $name() {
      let bytes: &[u8] = include_bytes!(concat!("messages/heartbeat-", $file, ".bin"));
      let heartbeat = Heartbeat::decode(bytes).unwrap();
      assert_eq!(heartbeat, $expected);
      assert_eq!(heartbeat.can_assist(), $can_assist);
      let table = receive(&heartbeat);
      assert_eq!(table.fleet_size(), 2);
      let (address, member) = table.live(Duration::ZERO).next().unwrap();
      assert_eq!(address.to_string(), heartbeat.sender);
      assert_eq!((member.phase, member.weight), (Phase::Ready, 250));
      assert_eq!(member.unreachable_services, heartbeat.unreachable_services);
      // What this build adds to the message stays out of it while it has nothing to say.
      assert_eq!(heartbeat.encode_to_vec().len(), bytes.len());
    }
  };
}

heartbeat_test!(
  heartbeat_of_0b7285b_is_understood,
  "0b7285b",
  first_fields(),
  false
);
heartbeat_test!(
  heartbeat_of_147fa13_is_understood,
  "147fa13",
  with_eras(),
  false
);
heartbeat_test!(
  heartbeat_of_2cae625_is_understood,
  "2cae625",
  with_limits(),
  false
);
heartbeat_test!(
  heartbeat_of_4c45312_is_understood,
  "4c45312",
  with_versions(),
  false
);
heartbeat_test!(
  heartbeat_of_e46434b_is_understood,
  "e46434b",
  with_links(),
  true
);

fn receive(heartbeat: &Heartbeat) -> Table {
  let mut table = Table::new("10.0.0.1:7200".parse().unwrap(), 1, Vec::new());
  table.receive(heartbeat, Duration::ZERO).unwrap();
  table
}

/// Guards against absent fields that are read as statements: a crash without a service, times or content, a
/// ban that is not uncertain, a limit that was withdrawn, a version of unknown age.
#[test]
fn absent_fields_state_nothing() {
  let now = Instant::now();
  let old = with_limits();
  let crash = old.crashes[0].crash(now);
  assert_eq!(crash.features, [Feature::PromptPart(71)]);
  assert_eq!(crash.at, now - Duration::from_millis(400));
  assert_eq!((crash.sent_at, crash.service), (crash.at, 0));
  let ban = old.bans[0].ban(now);
  assert!(!ban.is_uncertain);
  assert_eq!(
    ban.features,
    [Feature::PromptPart(71), Feature::PromptPart(72)]
  );
  assert_eq!(old.sounds[0].sound(now).feature, Feature::PromptPart(74));
  let withdrawn = placement::LimitStatement {
    at: now - Duration::from_millis(80),
    rate: None,
  };
  assert_eq!(old.limits[1].statement(now), withdrawn);
  // The safe reading: as long as the version may be in service, no stream is taken for one of another.
  assert_eq!(with_versions().versions[0].last_seen(now), now);
}

/// Guards against a host that believes to know all versions in service because another one, of a build that
/// does not say, announced some.
#[test]
fn versions_of_a_host_that_does_not_say_for_how_long_it_knows_them_are_not_all() {
  let now = Instant::now();
  let mut origins = origin::Table::default();
  for version in &with_versions().versions {
    origins.record_version(version.service, &version.version, now, now);
  }
  assert_eq!(with_versions().versions_known_for_ms, None);
  assert_eq!(origins.coverage(), None);
  assert_eq!(
    origins.decide(None, &[21], Duration::ZERO, now),
    origin::Decision::Unknown
  );
}

/// Parts of a heartbeat as the builds of 4c45312 and e46434b read it.
mod older {
  #[derive(Clone, PartialEq, prost::Message)]
  pub struct Ban {
    #[prost(fixed64, optional, tag = "5")]
    pub content: Option<u64>,
    #[prost(uint32, tag = "1")]
    pub crashes: u32,
    #[prost(bool, tag = "6")]
    pub is_uncertain: bool,
    #[prost(uint64, tag = "3")]
    pub last_crash_age_ms: u64,
    #[prost(fixed64, repeated, tag = "4")]
    pub prompt_parts: Vec<u64>,
  }

  #[derive(Clone, PartialEq, prost::Message)]
  pub struct Limit {
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    #[prost(fixed64, tag = "3")]
    pub target: u64,
  }

  #[derive(Clone, PartialEq, prost::Message)]
  pub struct Origin {
    #[prost(fixed64, repeated, tag = "1")]
    pub streams: Vec<u64>,
    #[prost(string, tag = "2")]
    pub version: String,
  }

  #[derive(Clone, PartialEq, prost::Message)]
  pub struct ServiceVersion {
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    #[prost(string, tag = "2")]
    pub version: String,
  }

  #[derive(Clone, PartialEq, prost::Message)]
  pub struct Heartbeat {
    #[prost(message, repeated, tag = "22")]
    pub bans: Vec<Ban>,
    #[prost(string, tag = "1")]
    pub callers: String,
    #[prost(uint64, optional, tag = "2")]
    pub catalog_age_ms: Option<u64>,
    #[prost(uint64, tag = "3")]
    pub catalog_version: u64,
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    #[prost(message, repeated, tag = "25")]
    pub limits: Vec<Limit>,
    #[prost(string, repeated, tag = "8")]
    pub members: Vec<String>,
    #[prost(message, repeated, tag = "26")]
    pub origins: Vec<Origin>,
    #[prost(uint32, tag = "9")]
    pub phase: u32,
    #[prost(bool, tag = "10")]
    pub reads: bool,
    #[prost(string, tag = "11")]
    pub sender: String,
    #[prost(uint64, tag = "12")]
    pub sequence: u64,
    #[prost(message, repeated, tag = "27")]
    pub versions: Vec<ServiceVersion>,
    #[prost(uint32, tag = "13")]
    pub weight: u32,
  }
}

/// Guards against heartbeats of this build that older ones misread.
#[test]
fn older_builds_read_the_heartbeat_of_this_one() {
  let heartbeat = Heartbeat {
    protocol: member::PROTOCOL,
    ..with_links()
  };
  let read = older::Heartbeat::decode(&heartbeat.encode_to_vec()[..]).unwrap();
  let expected = older::Heartbeat {
    bans: vec![older::Ban {
      content: Some(73),
      crashes: 3,
      is_uncertain: true,
      last_crash_age_ms: 2_000,
      prompt_parts: vec![71, 72],
    }],
    callers: "10.0.0.2:8740".into(),
    catalog_age_ms: Some(120),
    catalog_version: CATALOG_VERSION,
    incarnation: 0xb1b2_b3b4_b5b6_b7b8,
    limits: vec![
      older::Limit {
        age_ms: 90,
        rate: Some(2.5),
        target: 14,
      },
      older::Limit {
        age_ms: 80,
        rate: None,
        target: 15,
      },
    ],
    members: vec!["10.0.0.3:7200".into()],
    origins: vec![older::Origin {
      streams: vec![81, 82],
      version: "v1".into(),
    }],
    phase: 1,
    reads: true,
    sender: "10.0.0.2:7200".into(),
    sequence: 42,
    versions: vec![older::ServiceVersion {
      service: 21,
      version: "v1".into(),
    }],
    weight: 250,
  };
  assert_eq!(read, expected);
}

/// Appends fields that no build knows: an integer, 8 bytes and a text.
fn append_unknown_fields(bytes: &mut Vec<u8>) {
  prost::encoding::uint64::encode(1_000, &7, bytes);
  prost::encoding::fixed64::encode(1_001, &7, bytes);
  prost::encoding::string::encode(1_002, &"later".to_owned(), bytes);
}

/// Guards against hosts that cannot read what later builds add.
#[test]
fn unknown_fields_are_passed_over() {
  let mut ban = with_links().bans[0].encode_to_vec();
  append_unknown_fields(&mut ban);
  let mut bytes = Heartbeat {
    bans: Vec::new(),
    ..with_links()
  }
  .encode_to_vec();
  prost::encoding::bytes::encode(22, &ban, &mut bytes);
  append_unknown_fields(&mut bytes);
  assert_eq!(Heartbeat::decode(&bytes[..]).unwrap(), with_links());
}

/// Guards against phases and protocols of later builds that make a host unusable or unreadable.
#[test]
fn host_of_a_later_build_is_known_but_gets_no_requests_in_an_unknown_phase() {
  let later = Heartbeat {
    phase: 77,
    protocol: 1_000,
    ..with_links()
  };
  let table = receive(&later);
  let (_, member) = table.live(Duration::ZERO).next().unwrap();
  assert_eq!(member.phase, Phase::Starting);
  assert!(member.can_assist);
}

/// Answers one call with the bytes of an older build, and returns the address and the call.
async fn answer_with(response: &'static [u8]) -> (SocketAddr, tokio::task::JoinHandle<Vec<u8>>) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let call = tokio::spawn(async move {
    let (mut stream, _) = listener.accept().await.unwrap();
    let length = stream.read_u32().await.unwrap();
    let mut call = vec![0; length as usize];
    stream.read_exact(&mut call).await.unwrap();
    stream.write_all(response).await.unwrap();
    call
  });
  (address, call)
}

/// Sends the call of an older build to this one; returns the response, with its length in front.
async fn call_with(request: &[u8]) -> Vec<u8> {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let compressed = member::compress_catalog(CATALOG);
  let handlers = Handlers {
    catalog: Box::new(move |above| {
      if above < CATALOG_VERSION {
        compressed.clone()
      } else {
        Bytes::new()
      }
    }),
    is_listening: Box::new(|target| Box::pin(async move { (target == 11).then_some(true) })),
  };
  let server = tokio::spawn(member::serve_calls(listener, Arc::new(handlers)));
  let mut stream = TcpStream::connect(address).await.unwrap();
  stream.write_all(request).await.unwrap();
  let mut response = Vec::new();
  stream.read_to_end(&mut response).await.unwrap();
  server.abort();
  response
}

/// Guards against catalogs that hosts of two builds cannot give each other. The name is that of the commit.
macro_rules! catalog_test {
  ($name:ident, $file:literal) => {
    #[tokio::test]
    async fn $name() {
      const REQUEST: &[u8] = include_bytes!(concat!("messages/catalog-request-", $file, ".bin"));
      const RESPONSE: &[u8] = include_bytes!(concat!("messages/catalog-response-", $file, ".bin"));
      assert_eq!(call_with(REQUEST).await, RESPONSE);
      let (address, call) = answer_with(RESPONSE).await;
      assert_eq!(member::fetch_catalog(address, 7).await.unwrap(), CATALOG);
      assert_eq!(call.await.unwrap(), REQUEST[4..]);
    }
  };
}

catalog_test!(catalog_is_exchanged_with_0b7285b, "0b7285b");
catalog_test!(catalog_is_exchanged_with_147fa13, "147fa13");
catalog_test!(catalog_is_exchanged_with_2cae625, "2cae625");
catalog_test!(catalog_is_exchanged_with_4c45312, "4c45312");
catalog_test!(catalog_is_exchanged_with_e46434b, "e46434b");

/// Guards against questions about targets that hosts of two builds cannot ask each other.
#[tokio::test]
async fn question_whether_a_target_listens_is_exchanged_with_e46434b() {
  const REQUEST: &[u8] = include_bytes!("messages/listening-request-e46434b.bin");
  const RESPONSE: &[u8] = include_bytes!("messages/listening-response-e46434b.bin");
  assert_eq!(call_with(REQUEST).await, RESPONSE);
  let (address, call) = answer_with(RESPONSE).await;
  assert_eq!(
    member::ask_is_listening(address, 11).await.unwrap(),
    Some(true)
  );
  assert_eq!(call.await.unwrap(), REQUEST[4..]);
}

/// Guards against an answer of builds which take the question for one for a catalog, that is read as one.
#[tokio::test]
async fn older_build_answers_the_question_whether_a_target_listens_with_nothing() {
  let (address, call) = answer_with(&[0; 4]).await;
  assert_eq!(member::ask_is_listening(address, 11).await.unwrap(), None);
  // It must not ask for a catalog in the eyes of such a build: none is above this version.
  let call = call.await.unwrap();
  assert!(call.starts_with(&[8, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1]));
}

/// Guards against hosts of two builds that mean different targets, streams, places or lists by the same
/// hash.
#[test]
fn hashes_in_messages_are_those_of_older_builds() {
  let started_ms = Some(1_700_000_000_000);
  assert_eq!(
    roster::fingerprint("e-1", started_ms),
    0x3465_6eb2_4091_e72e
  );
  assert_eq!(
    origin::stream_key(Some("club"), "r-1"),
    0xc36b_d32f_637f_c7d1
  );
  assert_eq!(origin::stream_key(None, "r-1"), 0xd7e6_0565_bf24_4dc3);
  let mut table = Table::new("10.0.0.1:7200".parse().unwrap(), 1, Vec::new());
  for host in 2..7 {
    let address = format!("10.0.0.{host}:7200");
    let heartbeat = Heartbeat {
      callers: address.clone(),
      incarnation: host,
      sender: address,
      sequence: 1,
      ..Heartbeat::default()
    };
    table.receive(&heartbeat, Duration::ZERO).unwrap();
  }
  let now = Duration::from_secs(2);
  let positions: Vec<usize> = (0..12).map(|seed| table.position(seed, now).unwrap()).collect();
  assert_eq!(positions, [4, 4, 2, 3, 1, 5, 3, 0, 3, 3, 3, 1]);
  let mut roster = roster::Roster::default();
  let now = Instant::now();
  for (id, warmup_ms) in [("e-1", 0), ("e-2", 900)] {
    let listing = roster::Listing {
      address: "10.0.1.1:9000".parse().unwrap(),
      started_ms,
      data_centre: "kochi".into(),
      service: "llm".into(),
      slots: 24,
      state: roster::State::Available,
      version: "v1".into(),
      warmup_remaining: Duration::from_millis(warmup_ms),
    };
    roster.put(id, reader::Version::new(1, 5), Some(listing), now);
  }
  assert_eq!(roster.digest(now), 0x27e4_64fb_a9a6_d883);
}
