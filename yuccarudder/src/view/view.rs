use {
  super::{HostList, Offer},
  crate::{tree::Tree, yaml::Fault},
  std::{sync::Arc, time::Instant},
};

/// An accepted document.
#[derive(Debug)]
pub struct Accepted<T> {
  /// The document.
  pub document: Arc<T>,
  /// Its revision.
  pub revision: u64,
}

impl<T> Clone for Accepted<T> {
  fn clone(&self) -> Self {
    Self {
      document: Arc::clone(&self.document),
      revision: self.revision,
    }
  }
}

/// One published key: the document in force, its age, and the last refused one.
#[derive(Debug)]
pub struct Slot<T> {
  /// The document in force.
  pub accepted: Option<Accepted<T>>,
  /// When the newest revision seen was last known to be the published one.
  pub confirmed: Option<Instant>,
  /// Faults of the newest document, if it was refused.
  pub refused: Vec<Fault>,
  /// Newest revision seen, accepted or not.
  pub seen: u64,
}

impl<T> Clone for Slot<T> {
  fn clone(&self) -> Self {
    Self {
      accepted: self.accepted.clone(),
      confirmed: self.confirmed,
      refused: self.refused.clone(),
      seen: self.seen,
    }
  }
}

impl<T> Default for Slot<T> {
  fn default() -> Self {
    Self {
      accepted: None,
      confirmed: None,
      refused: Vec::new(),
      seen: 0,
    }
  }
}

impl<T> Slot<T> {
  /// Records that the newest revision seen was still published at `asked`.
  ///
  /// `asked` is when the question was sent, so its delay counts against the age.
  pub fn confirm(&mut self, revision: u64, asked: Instant) {
    if revision == self.seen {
      self.confirmed = self.confirmed.max(Some(asked));
    }
  }

  /// Offers a document that was asked for at `asked`.
  ///
  /// Revisions only rise; an older one is ignored whatever it holds.
  pub fn offer(
    &mut self,
    revision: u64,
    asked: Instant,
    accept: impl FnOnce() -> Result<T, Vec<Fault>>,
  ) -> Offer {
    if revision < self.seen {
      return Offer::Stale;
    }
    if revision == self.seen && self.seen > 0 {
      self.confirm(revision, asked);
      return Offer::Unchanged;
    }
    self.seen = revision;
    self.confirm(revision, asked);
    match accept() {
      Ok(document) => {
        self.accepted = Some(Accepted {
          document: Arc::new(document),
          revision,
        });
        self.refused.clear();
        Offer::Accepted
      }
      Err(faults) => {
        self.refused.clone_from(&faults);
        Offer::Refused(faults)
      }
    }
  }
}

/// What a host knows of the published settings and hosts.
#[derive(Clone, Debug, Default)]
pub struct View {
  /// The list of hosts.
  pub hosts: Slot<HostList>,
  /// The settings tree.
  pub settings: Slot<Tree>,
}

impl View {
  /// Returns the settings tree in force.
  pub fn tree(&self) -> Option<Arc<Tree>> {
    self.settings.accepted.as_ref().map(|accepted| Arc::clone(&accepted.document))
  }
}
