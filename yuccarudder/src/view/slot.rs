use {
  super::{KeyDigest, OfferOutcome},
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
pub struct Replica<T> {
  /// The document in force.
  pub accepted: Option<Accepted<T>>,
  /// When the newest revision seen was last known to be the published one.
  pub confirmed: Option<Instant>,
  /// Faults of the newest document, if it was refused.
  pub faults: Vec<Fault>,
  /// Newest revision seen, accepted or not.
  pub newest_seen: u64,
}

impl<T> Clone for Replica<T> {
  fn clone(&self) -> Self {
    Self {
      accepted: self.accepted.clone(),
      confirmed: self.confirmed,
      faults: self.faults.clone(),
      newest_seen: self.newest_seen,
    }
  }
}

impl<T> Default for Replica<T> {
  fn default() -> Self {
    Self {
      accepted: None,
      confirmed: None,
      faults: Vec::new(),
      newest_seen: 0,
    }
  }
}

impl<T> Replica<T> {
  /// Records that a revision was still the published one at `at`.
  ///
  /// `at` is not later than when the question was sent, so that its delay
  /// counts against the age.
  pub fn confirm(&mut self, revision: u64, at: Instant) {
    if revision == self.newest_seen {
      self.confirmed = self.confirmed.max(Some(at));
    }
  }

  /// Takes in what another host says of the same key, as of `at` or later.
  pub fn confirm_digest_of_key(&mut self, stamp: &KeyDigest, at: Instant) {
    if let Some(at) = stamp.age.and_then(|age| at.checked_sub(age)) {
      self.confirm(stamp.seen, at);
    }
  }

  /// Returns the revision in force, zero before the first.
  pub fn revision_in_force(&self) -> u64 {
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
  ) -> OfferOutcome {
    if revision < self.revision_in_force() {
      return OfferOutcome::Stale;
    }
    let refused = revision == self.newest_seen && !self.faults.is_empty();
    if refused || (revision == self.revision_in_force() && self.accepted.is_some()) {
      if let Some(confirmed) = confirmed {
        self.confirm(revision, confirmed);
      }
      return OfferOutcome::Unchanged;
    }
    let newest = revision >= self.newest_seen;
    if revision > self.newest_seen {
      self.newest_seen = revision;
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
          self.faults.clear();
        }
        OfferOutcome::Accepted
      }
      Err(faults) if newest => {
        self.faults.clone_from(&faults);
        OfferOutcome::Refused(faults)
      }
      Err(faults) => OfferOutcome::Refused(faults),
    }
  }

  /// Returns what to tell another host of this key.
  pub fn stamp(&self, now: Instant) -> KeyDigest {
    KeyDigest {
      age: self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed)),
      in_force: self.revision_in_force(),
      seen: self.newest_seen,
    }
  }
}
