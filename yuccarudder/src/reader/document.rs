use {
  crate::roster,
  bytes::Bytes,
  futures::future::BoxFuture,
  std::{fmt, sync::Arc, time::Duration},
};

/// A part of what the platform publishes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Area {
  /// The catalog and the data centres that are out of service.
  Operator,
  /// The targets.
  Targets,
}

impl Area {
  /// Returns the name used in logs.
  pub fn name(self) -> &'static str {
    match self {
      Self::Operator => "operator",
      Self::Targets => "targets",
    }
  }
}

/// What a document is about.
#[derive(Clone, Debug)]
pub enum Subject {
  /// The catalog as it was published; `None` when it was removed.
  Catalog(Option<Bytes>),
  /// A data centre that is out of service or back.
  Evacuation {
    /// The data centre.
    data_centre: String,
    /// Whether it is out.
    out: bool,
  },
  /// Nothing that concerns the gateway.
  Other,
  /// An entry of a target; its listing is `None` when it cannot be read.
  Target {
    /// The name under which it is listed.
    id: Arc<str>,
    /// The entry.
    listing: Option<roster::Listing>,
  },
  /// An entry of a target was removed.
  TargetExpired {
    /// The name under which it was listed.
    id: Arc<str>,
  },
}

/// A document that was written or removed.
#[derive(Clone, Debug)]
pub struct Change {
  /// The revision of the platform that it came with.
  pub revision: u64,
  /// What it is about.
  pub subject: Subject,
}

/// What changed up to a revision.
#[derive(Clone, Debug)]
pub struct Changes {
  /// The changes, in order.
  pub changes: Vec<Change>,
  /// The revision that they reach.
  pub revision: u64,
}

/// All documents of an area; none is older than the revision.
pub type Snapshot = Changes;

/// How current a list has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
  /// As of the question or later.
  Linearizable,
  /// It may be seconds old, but is not older than its revision.
  Stale,
}

/// How a host follows an area.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
  /// It waits for changes, with a pause between two questions.
  Watch(Duration),
  /// It looks at outdated lists, with a pause between two.
  Poll(Duration),
  /// It leaves the area to other hosts, and thinks again after a pause.
  Idle(Duration),
}

/// Why the platform gave no answer.
#[derive(Debug)]
pub enum Error {
  /// The changes after the revision are no longer kept.
  Compacted,
  /// It cannot be read now.
  Unavailable(anyhow::Error),
}

/// Lists an area; a list that may be outdated costs the platform less.
pub type List =
  Arc<dyn Fn(Area, Consistency) -> BoxFuture<'static, Result<Snapshot, Error>> + Send + Sync>;
/// Waits up to a time for changes of an area after a revision.
pub type Watch =
  Arc<dyn Fn(Area, u64, Duration) -> BoxFuture<'static, Result<Changes, Error>> + Send + Sync>;

/// The calls to the platform's store.
#[derive(Clone)]
pub struct Store {
  /// Lists an area.
  pub list: List,
  /// Waits for changes.
  pub watch: Watch,
}

impl fmt::Debug for Store {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("Store")
  }
}
