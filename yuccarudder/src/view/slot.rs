use {
  super::{Offer, Stamp},
  crate::yaml::Fault,
  std::{sync::Arc, time::Instant},
};

/// An accepted document.
#[derive(Debug)]
pub struct Accepted<T> {
  /// The document.
  pub document: Arc<T>,
  /// Its revision.
  pub revision: u64,
  /// Its text, for hosts that do not have it yet.
  pub text: Arc<str>,
}

impl<T> Clone for Accepted<T> {
  fn clone(&self) -> Self {
    Self {
      document: Arc::clone(&self.document),
      revision: self.revision,
      text: Arc::clone(&self.text),
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
  /// Records that a revision was still the published one at `at`.
  ///
  /// `at` is not later than when the question was sent, so that its delay
  /// counts against the age.
  pub fn confirm(&mut self, revision: u64, at: Instant) {
    if revision == self.seen {
      self.confirmed = self.confirmed.max(Some(at));
    }
  }

  /// Takes in what another host says of the same key, as of `at` or later.
  pub fn confirm_stamp(&mut self, stamp: &Stamp, at: Instant) {
    if let Some(at) = stamp.age.and_then(|age| at.checked_sub(age)) {
      self.confirm(stamp.seen, at);
    }
  }

  /// Returns the revision in force, zero before the first.
  pub fn in_force(&self) -> u64 {
    self.accepted.as_ref().map_or(0, |accepted| accepted.revision)
  }

  /// Offers a document; `confirmed` is when it was known to be published, if that is known.
  ///
  /// The revision in force only rises, whatever is offered.
  pub fn offer(
    &mut self,
    revision: u64,
    confirmed: Option<Instant>,
    text: &str,
    accept: impl FnOnce(&str) -> Result<T, Vec<Fault>>,
  ) -> Offer {
    if revision < self.in_force() {
      return Offer::Stale;
    }
    let refused = revision == self.seen && !self.refused.is_empty();
    if refused || (revision == self.in_force() && self.accepted.is_some()) {
      if let Some(confirmed) = confirmed {
        self.confirm(revision, confirmed);
      }
      return Offer::Unchanged;
    }
    let newest = revision >= self.seen;
    if revision > self.seen {
      self.seen = revision;
      self.confirmed = None;
    }
    if let Some(confirmed) = confirmed {
      self.confirm(revision, confirmed);
    }
    match accept(text) {
      Ok(document) => {
        self.accepted = Some(Accepted {
          document: Arc::new(document),
          revision,
          text: text.into(),
        });
        if newest {
          self.refused.clear();
        }
        Offer::Accepted
      }
      Err(faults) if newest => {
        self.refused.clone_from(&faults);
        Offer::Refused(faults)
      }
      Err(faults) => Offer::Refused(faults),
    }
  }

  /// Returns what to tell another host of this key.
  pub fn stamp(&self, now: Instant) -> Stamp {
    Stamp {
      age: self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed)),
      in_force: self.in_force(),
      seen: self.seen,
    }
  }
}
