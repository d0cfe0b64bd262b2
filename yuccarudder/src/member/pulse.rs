use {
  crate::{placement, roster},
  std::time::Duration,
};

/// The newest pulse of the recipient that the sender had seen.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Echo {
  /// The process of the recipient.
  #[prost(fixed64, tag = "1")]
  pub incarnation: u64,
  /// The number of the pulse.
  #[prost(uint64, tag = "2")]
  pub sequence: u64,
}

/// A target that takes no more work.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Leaving {
  /// Time until it is gone, in milliseconds, if the sender knows it.
  #[prost(uint64, optional, tag = "3")]
  pub leaves_in_ms: Option<u64>,
  /// The platform's revision that told of it.
  #[prost(uint64, tag = "1")]
  pub revision: u64,
  /// The process of the target.
  #[prost(fixed64, tag = "2")]
  pub target: u64,
}

impl From<roster::Departure> for Leaving {
  fn from(departure: roster::Departure) -> Self {
    let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Self {
      leaves_in_ms: departure.leaves_in.map(milliseconds),
      revision: departure.revision,
      target: departure.fingerprint,
    }
  }
}

impl From<Leaving> for roster::Departure {
  fn from(leaving: Leaving) -> Self {
    Self {
      fingerprint: leaving.target,
      leaves_in: leaving.leaves_in_ms.map(Duration::from_millis),
      revision: leaving.revision,
    }
  }
}

/// What the sender has at one target.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Load {
  /// Tokens still to be read in.
  #[prost(uint64, tag = "1")]
  pub arriving: u64,
  /// Tokens being copied there.
  #[prost(uint64, tag = "5")]
  pub copying: u64,
  /// Tokens of memory taken now.
  #[prost(uint64, tag = "6")]
  pub held: u64,
  /// Requests.
  #[prost(uint32, tag = "2")]
  pub runs: u32,
  /// The process of the target.
  #[prost(fixed64, tag = "3")]
  pub target: u64,
  /// Tokens of memory needed in the end.
  #[prost(uint64, tag = "4")]
  pub tokens: u64,
}

impl Load {
  /// Names the target of a load.
  pub fn new(target: u64, load: placement::Load) -> Self {
    Self {
      arriving: load.arriving,
      copying: load.copying,
      held: load.held,
      runs: load.runs,
      target,
      tokens: load.tokens,
    }
  }

  /// Returns the load without its target.
  pub fn load(&self) -> placement::Load {
    placement::Load {
      arriving: self.arriving,
      copying: self.copying,
      held: self.held,
      runs: self.runs,
      tokens: self.tokens,
    }
  }
}

/// What one host tells another.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Heartbeat {
  /// Where callers reach the sender.
  #[prost(string, tag = "1")]
  pub callers: String,
  /// Data centres that are out of service, as of the operator's revision.
  #[prost(string, repeated, tag = "14")]
  pub evacuated: Vec<String>,
  /// The platform's revision up to which the sender knows the operator's documents.
  #[prost(uint64, tag = "15")]
  pub operator_revision: u64,
  /// Age of the sender's last confirmation of its catalog, in milliseconds.
  #[prost(uint64, optional, tag = "2")]
  pub catalog_age_ms: Option<u64>,
  /// Version of the sender's catalog, 0 without one.
  #[prost(uint64, tag = "3")]
  pub catalog_version: u64,
  /// The newest pulse of the recipient that the sender had seen.
  #[prost(message, optional, tag = "4")]
  pub echo: Option<Echo>,
  /// The process of the sender.
  #[prost(fixed64, tag = "5")]
  pub incarnation: u64,
  /// Targets that left or announced it lately.
  #[prost(message, repeated, tag = "6")]
  pub leaving: Vec<Leaving>,
  /// The sender's loads.
  #[prost(message, repeated, tag = "7")]
  pub loads: Vec<Load>,
  /// Hosts that the sender heard from lately.
  #[prost(string, repeated, tag = "8")]
  pub members: Vec<String>,
  /// The sender's phase.
  #[prost(uint32, tag = "9")]
  pub phase: u32,
  /// Whether the sender reads the platform without trouble.
  #[prost(bool, tag = "10")]
  pub reads: bool,
  /// Where other hosts reach the sender.
  #[prost(string, tag = "11")]
  pub sender: String,
  /// Number of the pulse, which rises within one process.
  #[prost(uint64, tag = "12")]
  pub sequence: u64,
  /// How much the sender can carry, in thousandths of a core.
  #[prost(uint32, tag = "13")]
  pub weight: u32,
}
