use {
  crate::yaml::{self, Fault, Node},
  serde::Serialize,
  std::net::SocketAddr,
};

const STATES: [(&str, HostState); 2] = [("leaving", HostState::Leaving), ("live", HostState::Live)];

/// Whether callers are to use a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
  /// The operators are taking it out of service.
  Leaving,
  /// Callers may use it.
  Live,
}

/// A host in the published list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Entry {
  /// Address for callers; it also identifies the host.
  pub callers: SocketAddr,
  /// Name of its data centre.
  pub data_centre: String,
  /// Address for other hosts.
  pub peers: SocketAddr,
  /// Whether callers are to use it.
  pub state: HostState,
}

impl Entry {
  fn read(node: &Node<'_, '_>) -> Option<Self> {
    const ADDRESS: &str = "an IP address and port";
    let mut map = node.map()?;
    let callers = map.require("callers", ADDRESS).and_then(|node| node.address());
    let data_centre =
      map.require("data_centre", "the name of a data centre").and_then(|node| node.string());
    let peers = map.require("peers", ADDRESS).and_then(|node| node.address());
    let state = map.require("state", "leaving, live").and_then(|node| node.choice(&STATES));
    map.finish();
    Some(Self {
      callers: callers?,
      data_centre: data_centre?.into(),
      peers: peers?,
      state: state?,
    })
  }
}

/// The published list of hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostList {
  /// The hosts, in the order of the document.
  pub hosts: Vec<Entry>,
}

impl HostList {
  /// Parses a published list; `source` names it in the faults.
  ///
  /// # Errors
  ///
  /// Returns all faults of the document.
  pub fn parse(source: &str, text: &str) -> Result<Self, Vec<Fault>> {
    yaml::read(source, text, |root| {
      let mut map = root.map()?;
      let hosts = map.require("hosts", "a list of hosts").and_then(|node| node.list());
      map.finish();
      let hosts = hosts?.iter().filter_map(Entry::read).collect();
      Some(Self { hosts })
    })
  }

  /// Returns the entry of the host that has the given address for callers.
  pub fn find(&self, callers: SocketAddr) -> Option<&Entry> {
    self.hosts.iter().find(|host| host.callers == callers)
  }
}
