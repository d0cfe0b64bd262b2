use {
  super::{Digest, HostList, Offer, Slot},
  crate::{platform::Key, tree::Tree},
  serde::{Deserialize, Serialize},
  std::{sync::Arc, time::Instant},
};

/// A document on its way from one host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
  /// Which document it is.
  pub key: Key,
  /// Its revision.
  pub revision: u64,
  /// Its text.
  pub text: String,
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
  /// Records that a revision of a key was still published at `at`.
  pub fn confirm(&mut self, key: Key, revision: u64, at: Instant) {
    match key {
      Key::Hosts => self.hosts.confirm(revision, at),
      Key::Settings => self.settings.confirm(revision, at),
    }
  }

  /// Takes in the ages of another host's digest, which was made at `at` or later.
  pub fn confirm_digest(&mut self, digest: &Digest, at: Instant) {
    self.hosts.confirm_stamp(&digest.hosts, at);
    self.settings.confirm_stamp(&digest.settings, at);
  }

  /// Returns what to tell another host.
  pub fn digest(&self, now: Instant) -> Digest {
    Digest {
      hosts: self.hosts.stamp(now),
      settings: self.settings.stamp(now),
    }
  }

  /// Offers a document; `confirmed` is when it was known to be published, if that is known.
  pub fn offer(
    &mut self,
    key: Key,
    revision: u64,
    text: &str,
    confirmed: Option<Instant>,
  ) -> Offer {
    match key {
      Key::Hosts => self.hosts.offer(revision, confirmed, text, |text| {
        HostList::accept("hosts", text)
      }),
      Key::Settings => self.settings.offer(revision, confirmed, text, |text| {
        Tree::parse("settings", text)
      }),
    }
  }

  /// Returns the document in force of a key, if it is newer than `above`.
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

  /// Returns the stalest of the two ages; `None` when one was never confirmed.
  pub fn oldest(&self) -> Option<Instant> {
    Some(self.hosts.confirmed?.min(self.settings.confirmed?))
  }

  /// Returns the settings tree in force.
  pub fn tree(&self) -> Option<Arc<Tree>> {
    self.settings.accepted.as_ref().map(|accepted| Arc::clone(&accepted.document))
  }

  /// Returns the keys of which another host has a newer document.
  pub fn wanted(&self, theirs: &Digest) -> Vec<(Key, u64)> {
    let ours = [
      (Key::Hosts, self.hosts.in_force(), theirs.hosts.in_force),
      (
        Key::Settings,
        self.settings.in_force(),
        theirs.settings.in_force,
      ),
    ];
    let newer = ours.into_iter().filter(|(_, ours, theirs)| theirs > ours);
    newer.map(|(key, ours, _)| (key, ours)).collect()
  }

  /// Returns the documents that another host lacks.
  pub fn lacked(&self, theirs: &Digest) -> Vec<Published> {
    let theirs = [
      (Key::Hosts, theirs.hosts.in_force),
      (Key::Settings, theirs.settings.in_force),
    ];
    let lacked = theirs.into_iter().filter_map(|(key, above)| self.published(key, above));
    lacked.collect()
  }
}
