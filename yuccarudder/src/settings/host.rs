use {
  crate::yaml::{self, Fault},
  std::{net::SocketAddr, time::Duration},
};

const LOG_FORMATS: [(&str, LogFormat); 2] = [("json", LogFormat::Json), ("text", LogFormat::Text)];
const POLL: Duration = Duration::from_secs(10);

/// Shape of the log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
  /// One JSON object a line.
  Json,
  /// Plain text.
  Text,
}

/// The settings of one entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
  /// Address on which callers connect; it also names the host.
  pub callers: SocketAddr,
  /// Name of the data centre of the host.
  pub data_centre: String,
  /// Shape of the log lines.
  pub log: LogFormat,
  /// Address of the operators' port.
  pub operators: SocketAddr,
  /// Address on which other hosts connect.
  pub peers: SocketAddr,
  /// Address of the platform's configuration service.
  pub platform: SocketAddr,
  /// Longest time a long-poll of the platform is left waiting.
  pub poll: Duration,
}

impl Host {
  /// Reads the settings from YAML text; `source` names it in faults.
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
      let log = map.get("log").map_or(Some(LogFormat::Text), |node| node.choice(&LOG_FORMATS));
      let operators = map.require("operators", ADDRESS).and_then(|node| node.address());
      let peers = map.require("peers", ADDRESS).and_then(|node| node.address());
      let platform = map.require("platform", ADDRESS).and_then(|node| node.address());
      let poll = map.get("poll").map_or(Some(POLL), |node| {
        node.duration(&(Duration::from_millis(100)..=Duration::from_secs(60)))
      });
      map.finish();
      Some(Self {
        callers: callers?,
        data_centre: data_centre?.into(),
        log: log?,
        operators: operators?,
        peers: peers?,
        platform: platform?,
        poll: poll?,
      })
    })
  }
}
