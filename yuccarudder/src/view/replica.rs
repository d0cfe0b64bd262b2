use {
  super::{KeyDigest, OfferOutcome},
  crate::yaml::Fault,
  std::{sync::Arc, time::Instant},
};

/// A document that was accepted.
#[derive(Debug)]
pub struct Accepted<T> {
  /// The parsed document.
  pub document: Arc<T>,
  /// Its revision.
  pub revision: u64,
  /// Its text, to be sent to hosts that do not have it yet.
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

/// This host's copy of the document published under one key.
#[derive(Debug)]
pub struct Replica<T> {
  /// The document in force.
  pub accepted: Option<Accepted<T>>,
  /// When `newest_seen` was last known to be the published revision.
  pub confirmed_at: Option<Instant>,
  /// Faults of the newest document, if it was refused.
  pub faults: Vec<Fault>,
  /// The newest revision seen, whether it was accepted or refused.
  pub newest_seen: u64,
}

impl<T> Clone for Replica<T> {
  fn clone(&self) -> Self {
    Self {
      accepted: self.accepted.clone(),
      confirmed_at: self.confirmed_at,
      faults: self.faults.clone(),
      newest_seen: self.newest_seen,
    }
  }
}

impl<T> Default for Replica<T> {
  fn default() -> Self {
    Self {
      accepted: None,
      confirmed_at: None,
      faults: Vec::new(),
      newest_seen: 0,
    }
  }
}

impl<T> Replica<T> {
  /// Records that a revision was still the published one at `at`.
  ///
  /// `at` is no later than when the request was sent, so that the age is never too low,
  /// whatever the delay of the response.
  pub fn confirm(&mut self, revision: u64, at: Instant) {
    if revision == self.newest_seen {
      self.confirmed_at = self.confirmed_at.max(Some(at));
    }
  }

  /// Confirms the newest revision in another host's digest of the same key, by the age that the
  /// digest states.
  ///
  /// `at` is a time no later than the creation of the digest.
  pub fn confirm_digest(&mut self, digest: &KeyDigest, at: Instant) {
    if let Some(at) = digest.age.and_then(|age| at.checked_sub(age)) {
      self.confirm(digest.seen, at);
    }
  }

  /// Returns the revision in force; 0 if no document was accepted yet.
  pub fn revision_in_force(&self) -> u64 {
    self.accepted.as_ref().map_or(0, |accepted| accepted.revision)
  }

  /// Puts a document in force if it is valid and newer than the one in force.
  ///
  /// `confirmed_at` is a time at which it was known to be the published one, if any. The revision
  /// in force never falls, whatever is offered.
  pub fn offer(
    &mut self,
    revision: u64,
    confirmed_at: Option<Instant>,
    text: &str,
    parse: impl FnOnce(&str) -> Result<T, Vec<Fault>>,
  ) -> OfferOutcome {
    if revision < self.revision_in_force() {
      return OfferOutcome::Stale;
    }
    let is_refused = revision == self.newest_seen && !self.faults.is_empty();
    if is_refused || (revision == self.revision_in_force() && self.accepted.is_some()) {
      if let Some(confirmed_at) = confirmed_at {
        self.confirm(revision, confirmed_at);
      }
      return OfferOutcome::Unchanged;
    }
    let is_newest = revision >= self.newest_seen;
    if revision > self.newest_seen {
      self.newest_seen = revision;
      self.confirmed_at = None;
    }
    if let Some(confirmed_at) = confirmed_at {
      self.confirm(revision, confirmed_at);
    }
    match parse(text) {
      Ok(document) => {
        self.accepted = Some(Accepted {
          document: Arc::new(document),
          revision,
          text: text.into(),
        });
        if is_newest {
          self.faults.clear();
        }
        OfferOutcome::Accepted
      }
      Err(faults) if is_newest => {
        self.faults.clone_from(&faults);
        OfferOutcome::Refused(faults)
      }
      Err(faults) => OfferOutcome::Refused(faults),
    }
  }

  /// Returns the digest of this key for another host.
  pub fn digest(&self, now: Instant) -> KeyDigest {
    KeyDigest {
      age: self.confirmed_at.map(|confirmed_at| now.saturating_duration_since(confirmed_at)),
      in_force: self.revision_in_force(),
      seen: self.newest_seen,
    }
  }
}
