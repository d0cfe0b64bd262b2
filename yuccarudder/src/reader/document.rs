use {
  super::Version,
  crate::{origin, roster},
  bytes::Bytes,
  futures::future::BoxFuture,
  std::{fmt, sync::Arc, time::Duration},
};

/// A part of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Area {
  /// The operator's documents: the catalog and the data centres that are out of service.
  Operator,
  /// The entries of the targets.
  Targets,
}

impl Area {
  /// Returns the name of the area in logs.
  pub fn name(self) -> &'static str {
    match self {
      Self::Operator => "operator",
      Self::Targets => "targets",
    }
  }
}

/// What a document describes, with its content.
#[derive(Clone, Debug)]
pub enum Subject {
  /// The catalog as published; `None` if it was removed.
  Catalog(Option<Bytes>),
  /// A data centre that was taken out of service or back into service.
  Evacuation {
    /// Name of the data centre.
    data_centre: String,
    /// Whether it is out of service.
    out: bool,
  },
  /// A document that the gateway does not use.
  Other,
  /// The entry of a target; `listing` is `None` if it cannot be parsed.
  Target {
    /// Name of the target in the store.
    id: Arc<str>,
    /// Content of the entry.
    listing: Option<roster::Listing>,
  },
  /// The entry of a target was removed.
  TargetExpired {
    /// Name that the target had in the store.
    id: Arc<str>,
  },
}

/// A document that was written or removed.
#[derive(Clone, Debug)]
pub struct Change {
  /// Revision at which it was created; `None` if that, or `version`, is not known for sure.
  pub created: Option<u64>,
  /// State of the store with which it was written or removed.
  pub version: Version,
  /// What it describes.
  pub subject: Subject,
}

/// Changes of an area up to a state of the store.
#[derive(Clone, Debug)]
pub struct Changes {
  /// The changes, in order.
  pub changes: Vec<Change>,
  /// Whether a list ended before its last documents, as no key of a page could be read.
  pub is_cut: bool,
  /// Number of further changes that cannot be read, such as those without a key.
  pub unreadable: usize,
  /// State up to which they are complete.
  pub version: Version,
}

impl Changes {
  /// Returns when all documents of a current list were written; `None` if that is not known of each, or if
  /// the store was restored from a copy, since revisions of before then were assigned again.
  pub fn inventory(&self) -> Option<origin::Inventory> {
    if self.unreadable > 0 || self.is_cut || self.version.era > 0 {
      return None;
    }
    let mut first_catalog = None;
    let mut items = Vec::with_capacity(self.changes.len());
    for change in &self.changes {
      let created = change.created?;
      match change.subject {
        Subject::Catalog(_) => first_catalog = Some(created),
        // An earlier build may have read it.
        Subject::Target { listing: None, .. } => return None,
        _ => {}
      }
      items.push(origin::Revisions {
        created,
        changed: change.version.revision,
      });
    }
    Some(origin::Inventory {
      first_catalog,
      items,
      listed: self.version.revision,
    })
  }
}

/// All documents of an area; each is as of `version` or later.
pub type Snapshot = Changes;

/// How current a list has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
  /// Each entry of the list is as of the request or later.
  Current,
  /// The list may be seconds old, but is not older than its revision.
  Stale,
}

/// How a host reads an area.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
  /// Waits for changes, with a pause after each response.
  Watch(Duration),
  /// Reads stale lists, with a pause after each.
  Poll(Duration),
  /// Reads a current list, as what is known is too old, and decides again after a pause.
  Refresh(Duration),
  /// Leaves the area to other hosts and decides again after a pause.
  Idle(Duration),
}

/// Why a request to the platform failed.
#[derive(Debug)]
pub enum Error {
  /// The store no longer keeps the changes after the revision.
  Compacted,
  /// The store responded, but not with what can be read.
  Unreadable(anyhow::Error),
  /// The store cannot be read now.
  Unavailable(anyhow::Error),
}

/// Lists an area; a stale list costs the platform less.
pub type List =
  Arc<dyn Fn(Area, Consistency) -> BoxFuture<'static, Result<Snapshot, Error>> + Send + Sync>;
/// Waits for changes of an area after a revision, up to a timeout.
pub type Watch =
  Arc<dyn Fn(Area, u64, Duration) -> BoxFuture<'static, Result<Changes, Error>> + Send + Sync>;

/// Client of the platform's store.
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
