use {
  crate::{
    tree::Secret,
    yaml::{self, Fault, Node},
  },
  std::{net::SocketAddr, time::Duration},
};

pub(super) const LOG_FORMATS: [(&str, LogFormat); 2] =
  [("json", LogFormat::Json), ("text", LogFormat::Text)];
const DEFAULT_POLL: Duration = Duration::from_secs(10);

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
  /// One JSON object per line.
  Json,
  /// Plain text.
  Text,
}

/// The settings file of one entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
  /// Address on which callers connect; it also identifies the host.
  pub callers: SocketAddr,
  /// Name of the data centre of the host.
  pub data_centre: String,
  /// Key of the settings tree that authenticates the host to the seeds.
  pub key: Option<Secret>,
  /// Format of the log lines.
  pub log: LogFormat,
  /// Address on which operators connect.
  pub operators: SocketAddr,
  /// Address on which other hosts connect.
  pub peers: SocketAddr,
  /// Address of the platform's configuration service.
  pub platform: SocketAddr,
  /// Time after which a long poll of the platform returns without a change.
  pub poll: Duration,
  /// Addresses of other hosts that supply the settings tree and host list if the platform is
  /// unreachable at start.
  pub seeds: Vec<SocketAddr>,
}

impl Host {
  /// Parses the settings from YAML text; faults name it as `source`.
  ///
  /// # Errors
  ///
  /// Returns every fault found.
  pub fn parse(source: &str, text: &str) -> Result<Self, Vec<Fault>> {
    const ADDRESS: &str = "an IP address and port, such as 10.0.0.1:8080";
    yaml::read(source, text, |root| {
      let mut map = root.map()?;
      let callers = map.require("callers", ADDRESS).and_then(|node| node.address());
      let data_centre =
        map.require("data_centre", "the name of a data centre").and_then(|node| node.string());
      let key = map.get("key").map_or(Some(None), |node| Secret::read(&node).map(Some));
      let log = map.get("log").map_or(Some(LogFormat::Text), |node| node.choice(&LOG_FORMATS));
      let operators = map.require("operators", ADDRESS).and_then(|node| node.address());
      let peers = map.require("peers", ADDRESS).and_then(|node| node.address());
      let platform = map.require("platform", ADDRESS).and_then(|node| node.address());
      let poll = map.get("poll").map_or(Some(DEFAULT_POLL), |node| {
        node.duration(&(Duration::from_millis(100)..=Duration::from_secs(60)))
      });
      let seeds = map.get("seeds").map_or(Some(Vec::new()), |node| {
        Some(node.list()?.iter().filter_map(Node::address).collect())
      });
      if matches!((&key, &seeds), (Some(None), Some(seeds)) if !seeds.is_empty()) {
        root.fault("`seeds` without `key`", "`seeds` together with `key`");
      }
      map.finish();
      Some(Self {
        callers: callers?,
        data_centre: data_centre?.into(),
        key: key?,
        log: log?,
        operators: operators?,
        peers: peers?,
        platform: platform?,
        poll: poll?,
        seeds: seeds?,
      })
    })
  }
}
