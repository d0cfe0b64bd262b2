use {
  super::{Digest, HostList, OfferOutcome, Replica},
  crate::{platform::Key, tree::Tree},
  serde::{Deserialize, Serialize},
  std::{sync::Arc, time::Instant},
};

/// A published document as one host sends it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
  /// Key under which it was published.
  pub key: Key,
  /// Its revision.
  pub revision: u64,
  /// Its text.
  pub text: String,
}

/// A host's copies of the published settings and host list.
#[derive(Clone, Debug, Default)]
pub struct View {
  /// The host list.
  pub hosts: Replica<HostList>,
  /// The settings tree.
  pub settings: Replica<Tree>,
}

impl View {
  /// Records that a revision of a key was still the published one at `at`.
  pub fn confirm(&mut self, key: Key, revision: u64, at: Instant) {
    match key {
      Key::Hosts => self.hosts.confirm(revision, at),
      Key::Settings => self.settings.confirm(revision, at),
    }
  }

  /// Confirms the revisions in another host's digest, each by the age that the digest states.
  ///
  /// `at` is a time no later than the creation of the digest.
  pub fn confirm_digest(&mut self, digest: &Digest, at: Instant) {
    self.hosts.confirm_digest(&digest.hosts, at);
    self.settings.confirm_digest(&digest.settings, at);
  }

  /// Returns the digest for another host.
  pub fn digest(&self, now: Instant) -> Digest {
    Digest {
      hosts: self.hosts.digest(now),
      settings: self.settings.digest(now),
    }
  }

  /// Puts a document in force if it is valid and newer than the one in force.
  ///
  /// `confirmed_at` is a time at which it was known to be the published one, if any.
  pub fn offer(
    &mut self,
    key: Key,
    revision: u64,
    text: &str,
    confirmed_at: Option<Instant>,
  ) -> OfferOutcome {
    match key {
      Key::Hosts => self.hosts.offer(revision, confirmed_at, text, |text| {
        HostList::parse("hosts", text)
      }),
      Key::Settings => self.settings.offer(revision, confirmed_at, text, |text| {
        Tree::parse("settings", text)
      }),
    }
  }

  /// Returns the document in force under a key if its revision is higher than `above`.
  pub fn published(&self, key: Key, above: u64) -> Option<Published> {
    let (revision, text) = match key {
      Key::Hosts => {
        let accepted = self.hosts.accepted.as_ref()?;
        (accepted.revision, &accepted.text)
      }
      Key::Settings => {
        let accepted = self.settings.accepted.as_ref()?;
        (accepted.revision, &accepted.text)
      }
    };
    (revision > above).then(|| Published {
      key,
      revision,
      text: text.to_string(),
    })
  }

  /// Returns when the less recently confirmed of the two documents was confirmed; `None` if one
  /// never was.
  pub fn oldest_confirmation(&self) -> Option<Instant> {
    Some(self.hosts.confirmed_at?.min(self.settings.confirmed_at?))
  }

  /// Returns the settings tree in force.
  pub fn tree(&self) -> Option<Arc<Tree>> {
    self.settings.accepted.as_ref().map(|accepted| Arc::clone(&accepted.document))
  }

  /// Returns the keys under which another host has a newer document, each with the revision in
  /// force here.
  pub fn keys_to_fetch(&self, theirs: &Digest) -> Vec<(Key, u64)> {
    let revisions = [
      (
        Key::Hosts,
        self.hosts.revision_in_force(),
        theirs.hosts.in_force,
      ),
      (
        Key::Settings,
        self.settings.revision_in_force(),
        theirs.settings.in_force,
      ),
    ];
    let newer = revisions.into_iter().filter(|(_, ours, theirs)| theirs > ours);
    newer.map(|(key, ours, _)| (key, ours)).collect()
  }

  /// Returns the documents in force here that are newer than those of another host.
  pub fn documents_to_send(&self, theirs: &Digest) -> Vec<Published> {
    let theirs = [
      (Key::Hosts, theirs.hosts.in_force),
      (Key::Settings, theirs.settings.in_force),
    ];
    let newer = theirs.into_iter().filter_map(|(key, above)| self.published(key, above));
    newer.collect()
  }
}
