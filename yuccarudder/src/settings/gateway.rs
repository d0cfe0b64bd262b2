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
const MILLICORES: f64 = 1000.0;
/// Thousandths of a core that relaying a megabit a second takes, at most.
const MILLICORES_PER_MBPS: f64 = 20.0;
/// Longest time that a setting may give.
const MAX_SECONDS: f64 = 3600.0;

/// What the platform promises its users, within which the gateway must stay.
#[derive(Clone, Debug, PartialEq)]
pub struct Guarantees {
  /// Time from the acceptance of a catalog until it is in force.
  pub catalog_delay: Duration,
  /// Requests a second beyond the bearable ones that a cold target may get.
  pub cold_allowance: f64,
  /// Times the bearable requests that a cold target may get.
  pub cold_overage: f64,
  /// Time from the signal to stop until the process is killed.
  pub termination_grace: Duration,
  /// How often targets renew their entries.
  pub heartbeat_interval: Duration,
  /// The retry budget of a service over all hosts.
  pub retry_budget: RetryBudget,
  /// Time from the acceptance of a revocation until the credential is good for nothing.
  pub revocation_delay: Duration,
  /// Longest time that callers keep the directory's answer.
  pub directory_ttl: Duration,
}

/// The settings of one host that serves a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
  /// Address on which callers connect.
  pub callers: SocketAddr,
  /// The data centre of the host.
  pub data_centre: String,
  /// Address of the directory for callers.
  pub directory: SocketAddr,
  /// Shape of the log lines.
  pub log: LogFormat,
  /// Bytes of memory that the process may use.
  pub memory_bytes: u64,
  /// Address of the metrics, if they are served.
  pub metrics: Option<SocketAddr>,
  /// The name of the host in logs.
  pub name: String,
  /// Address on which other hosts are heard; it also names this one to them.
  pub peers: SocketAddr,
  /// What the platform promises.
  pub guarantees: Guarantees,
  /// Address of the readiness probe.
  pub readiness: SocketAddr,
  /// Addresses of hosts to ask for the others.
  pub seeds: Vec<SocketAddr>,
  /// Address of the platform's store.
  pub store: SocketAddr,
  /// How much the host can carry, in thousandths of a core.
  pub weight: u32,
}

impl Gateway {
  /// Reads the settings from YAML text; `source` names it in faults.
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
      let memory = map.require("memory_mb", "a number of megabytes");
      let memory_mb = memory.and_then(|node| node.float(&(16.0..=1e6)));
      let metrics = map.get("metrics").map_or(Some(None), |node| node.address().map(Some));
      let seeds = map.get("seeds").map_or(Some(Vec::new()), |node| {
        Some(node.list()?.iter().filter_map(Node::address).collect())
      });
      let cores = map.require("cores", "a number of processor cores");
      let cores = cores.and_then(|node| node.float(&(0.001..=1024.0)));
      let link = map.require("link_mbps", "the bandwidth of the host's link");
      let link = link.and_then(|node| node.float(&(0.1..=1e6)));
      let guarantees = map
        .require("promises", "the promises of the platform")
        .and_then(|node| read_guarantees(&node));
      map.finish();
      Some(Self {
        callers: callers?,
        data_centre: data_centre?.into(),
        directory: directory?,
        log: log?,
        memory_bytes: (memory_mb? * 1e6) as u64,
        metrics: metrics?,
        name: name?.into(),
        peers: peers?,
        guarantees: guarantees?,
        readiness: readiness?,
        seeds: seeds?,
        store: store?,
        weight: weight(cores?, link?),
      })
    })
  }
}

/// Returns how much a host can carry: the processor binds, or on a narrow link the link.
fn weight(cores: f64, link_mbps: f64) -> u32 {
  let cores = cores * MILLICORES;
  cores.min(link_mbps * MILLICORES_PER_MBPS).ceil() as u32
}

fn read_guarantees(node: &Node<'_, '_>) -> Option<Guarantees> {
  let mut map = node.map()?;
  let mut seconds = |key| {
    let node = map.require(key, SECONDS)?;
    node.float(&(0.0..=MAX_SECONDS)).map(Duration::from_secs_f64)
  };
  let directory_ttl = seconds("directory_keep_s");
  let termination_grace = seconds("grace_s");
  let window = seconds("retry_window_s");
  let mut milliseconds = |key| {
    let node = map.require(key, MILLISECONDS)?;
    let range = 0.0..=MAX_SECONDS * 1000.0;
    node.float(&range).map(|value| Duration::from_secs_f64(value / 1000.0))
  };
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
