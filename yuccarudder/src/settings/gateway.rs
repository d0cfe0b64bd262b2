use {
  crate::{
    limit::RetryBudget,
    settings::LogFormat,
    yaml::{self, Fault, Node},
  },
  std::{net::SocketAddr, time::Duration},
};

const ADDRESS: &str = "an IP address and port, such as 10.0.0.1:8080";
const MILLISECONDS: &str = "a number of milliseconds";
const SECONDS: &str = "a number of seconds";
const MILLICORES_PER_CORE: f64 = 1000.0;
/// Processor time for relaying 1 Mbit/s, an upper bound.
const MILLICORES_PER_MBPS: f64 = 20.0;
/// Time for which a leaving target serves on if the settings do not state it; the shortest in use.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(2);
/// Upper bound of every duration in the settings.
const MAX_DURATION_SECONDS: f64 = 3600.0;

/// The guarantees of the platform to its users, which the gateway must keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Guarantees {
  /// Longest time from the acceptance of a catalog until it is in force.
  pub catalog_delay: Duration,
  /// Requests per second that a target in its cold start may receive on top of `cold_overage`.
  pub cold_allowance: f64,
  /// Factor by which the load of a target in its cold start may exceed its sustainable rate.
  pub cold_overage: f64,
  /// Time for which a target serves on after the platform's store lists that it leaves. No host sends it a
  /// request later.
  pub drain_time: Duration,
  /// Time from the stop signal until the process is killed.
  pub termination_grace: Duration,
  /// Interval at which targets renew their entries in the platform's store.
  pub heartbeat_interval: Duration,
  /// Retry budget of each service, shared by all hosts.
  pub retry_budget: RetryBudget,
  /// Longest time from the acceptance of a revocation until no host accepts the credential.
  pub revocation_delay: Duration,
  /// Longest time for which callers may cache a response of the directory.
  pub directory_ttl: Duration,
}

/// The parts of the placement of requests that a deployment turns on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Placement {
  /// Whether client accounts that use less than their share of a service go first.
  pub account_shares: bool,
  /// Whether free places are dealt out in one order of the waiting requests of all hosts.
  pub contention: bool,
  /// Whether targets that hold the beginning of a prompt are preferred.
  pub held_prompts: bool,
  /// Whether requests are placed by how fast targets generate.
  pub pace: bool,
}

/// The settings file of one gateway host.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
  /// Address on which callers are accepted.
  pub callers: SocketAddr,
  /// Name of the data centre of the host.
  pub data_centre: String,
  /// Address on which callers ask for the hosts that they may connect to.
  pub directory: SocketAddr,
  /// Whether the fleet starts for the first time, so that no request ran before.
  pub first_start: bool,
  /// Format of the log lines.
  pub log: LogFormat,
  /// Memory that the process may use, in bytes.
  pub memory_bytes: u64,
  /// Address on which metrics are served, if at all.
  pub metrics: Option<SocketAddr>,
  /// Name of the host in logs.
  pub name: String,
  /// Address on which other hosts connect; it also identifies this host to them.
  pub peers: SocketAddr,
  /// The guarantees of the platform to its users.
  pub guarantees: Guarantees,
  /// The parts of the placement of requests that are turned on.
  pub placement: Placement,
  /// Address on which readiness probes are answered.
  pub readiness: SocketAddr,
  /// Addresses of hosts from which this host discovers the others.
  pub seeds: Vec<SocketAddr>,
  /// Address of the platform's store.
  pub store: SocketAddr,
  /// Capacity of the host in millicores, in proportion to which it receives load.
  pub weight: u32,
}

impl Gateway {
  /// Parses the settings from YAML text; faults name it as `source`.
  ///
  /// # Errors
  ///
  /// Returns every fault found.
  pub fn parse(source: &str, text: &str) -> Result<Self, Vec<Fault>> {
    yaml::read(source, text, |root| {
      let mut map = root.map()?;
      let mut address = |key| map.require(key, ADDRESS).and_then(|node| node.address());
      let callers = address("callers");
      let directory = address("directory");
      let peers = address("peers");
      let readiness = address("readiness");
      let store = address("store");
      let data_centre =
        map.require("data_centre", "the name of a data centre").and_then(|node| node.string());
      let name = map.require("name", "the name of the host").and_then(|node| node.string());
      let log = map.get("log").map_or(Some(LogFormat::Json), |node| {
        node.choice(&super::LOG_FORMATS)
      });
      let first_start = map.get("first_start").map_or(Some(false), |node| node.boolean());
      let memory = map.require("memory_mb", "a number of megabytes");
      let memory_mb = memory.and_then(|node| node.float(&(16.0..=1e6)));
      let metrics = map.get("metrics").map_or(Some(None), |node| node.address().map(Some));
      let seeds = map.get("seeds").map_or(Some(Vec::new()), |node| {
        Some(node.list()?.iter().filter_map(Node::address).collect())
      });
      let cores = map.require("cores", "a number of processor cores");
      let cores = cores.and_then(|node| node.float(&(0.001..=1024.0)));
      let link_mbps = map.require(
        "link_mbps",
        "the bandwidth of the host's network link in Mbit/s",
      );
      let link_mbps = link_mbps.and_then(|node| node.float(&(0.1..=1e6)));
      let placement =
        map.get("placement").map_or(Some(Placement::default()), |node| read_placement(&node));
      let guarantees = map
        .require("promises", "a mapping of the platform's guarantees")
        .and_then(|node| read_guarantees(&node));
      map.finish();
      Some(Self {
        callers: callers?,
        data_centre: data_centre?.into(),
        directory: directory?,
        first_start: first_start?,
        log: log?,
        memory_bytes: (memory_mb? * 1e6) as u64,
        metrics: metrics?,
        name: name?.into(),
        peers: peers?,
        guarantees: guarantees?,
        placement: placement?,
        readiness: readiness?,
        seeds: seeds?,
        store: store?,
        weight: weight(cores?, link_mbps?),
      })
    })
  }
}

/// Returns the capacity of a host in millicores, limited by its processor or by its link.
fn weight(cores: f64, link_mbps: f64) -> u32 {
  let millicores = cores * MILLICORES_PER_CORE;
  millicores.min(link_mbps * MILLICORES_PER_MBPS).ceil() as u32
}

fn read_placement(node: &Node<'_, '_>) -> Option<Placement> {
  let mut map = node.map()?;
  let mut flag = |key| map.get(key).map_or(Some(false), |node| node.boolean());
  let account_shares = flag("account_shares");
  let contention = flag("contention");
  let held_prompts = flag("held_prompts");
  let pace = flag("pace");
  map.finish();
  Some(Placement {
    account_shares: account_shares?,
    contention: contention?,
    held_prompts: held_prompts?,
    pace: pace?,
  })
}

fn read_guarantees(node: &Node<'_, '_>) -> Option<Guarantees> {
  let mut map = node.map()?;
  let mut seconds = |key| {
    let node = map.require(key, SECONDS)?;
    node.float(&(0.0..=MAX_DURATION_SECONDS)).map(Duration::from_secs_f64)
  };
  let directory_ttl = seconds("directory_keep_s");
  let termination_grace = seconds("grace_s");
  let window = seconds("retry_window_s");
  let milliseconds_of = |node: Node| {
    let range = 0.0..=MAX_DURATION_SECONDS * 1000.0;
    node.float(&range).map(|value| Duration::from_secs_f64(value / 1000.0))
  };
  let drain_time = map.get("drain_ms").map_or(Some(DEFAULT_DRAIN_TIME), milliseconds_of);
  let mut milliseconds = |key| map.require(key, MILLISECONDS).and_then(milliseconds_of);
  let catalog_delay = milliseconds("catalog_applied_ms");
  let heartbeat_interval = milliseconds("heartbeat_ms");
  let revocation_delay = milliseconds("revocation_ms");
  let mut number = |key| map.require(key, "a number").and_then(|node| node.float(&(0.0..=1e6)));
  let allowance = number("retry_allowance");
  let cold_allowance = number("cold_allowance");
  let cold_overage = number("cold_overage");
  let share = number("retry_share");
  map.finish();
  Some(Guarantees {
    catalog_delay: catalog_delay?,
    cold_allowance: cold_allowance?,
    cold_overage: cold_overage?,
    directory_ttl: directory_ttl?,
    drain_time: drain_time?,
    termination_grace: termination_grace?,
    heartbeat_interval: heartbeat_interval?,
    retry_budget: RetryBudget {
      allowance: allowance?,
      share: share?,
      window: window?,
    },
    revocation_delay: revocation_delay?,
  })
}
