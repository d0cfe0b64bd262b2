use {
  super::{Gateway, gateway::HOST},
  crate::{
    member,
    reader::{Area, Change, Changes, Duty, Error, Mode, Snapshot, Subject},
    relocation,
    roster::Key,
  },
  bytes::Bytes,
  std::{net::SocketAddr, sync::Arc, time::Duration},
  tokio::time,
};

/// Heartbeats of a target that the platform must have missed for its entry to lapse.
const MISSED_HEARTBEATS: u32 = 2;
const PREFIX: &str = "gateway";

impl Gateway {
  /// Takes in changes that the platform told of.
  pub fn apply(&self, area: Area, changes: Changes, asked: Duration) {
    let mut leaving = Vec::new();
    for change in changes.changes {
      leaving.extend(self.apply_one(change, asked));
    }
    if area == Area::Operator {
      let mut state = self.lock();
      state.freshness.confirm(asked);
      state.operator_revision = state.operator_revision.max(changes.revision);
    }
    self.tell_leaving(&leaving, "platform");
  }

  fn apply_one(&self, change: Change, asked: Duration) -> Option<Key> {
    let now = self.clock.now();
    let revision = change.revision;
    match change.subject {
      Subject::Catalog(Some(bytes)) => {
        self.offer_catalog(bytes, Some(asked), "platform");
        None
      }
      Subject::Catalog(None) | Subject::Other => None,
      Subject::Evacuation { data_centre, out } => {
        log::info!(target: PREFIX, data_centre, out, revision; "A data centre was taken out or back.");
        self.lock().roster.evacuate(&data_centre, out);
        None
      }
      Subject::Target { id, listing } => {
        if listing.is_none() {
          log::warn!(target: PREFIX, target:% = id, revision; "The entry of a target cannot be read.");
        }
        self.lock().roster.put(&id, revision, listing, now)
      }
      Subject::TargetExpired { id } => {
        let mut state = self.lock();
        let recovering = state.recovering(now);
        log::info!(target: PREFIX, target:% = id, revision, recovering; "The entry of a target was removed.");
        state.roster.expire(&id, revision, recovering, now)
      }
    }
  }

  /// Asks a target that leaves, where this host has runs, when it is gone.
  fn learn_departure(&self, key: Key) {
    let state = self.lock();
    let Some(target) = state.roster.get(key) else {
      return;
    };
    let catalog = state.catalog.as_ref();
    if !catalog.is_some_and(|catalog| catalog.can_relocate(&target.listing.service))
      || target.leaves_at.is_some()
      || self.places.lock().local_load(target.fingerprint).requests == 0
    {
      return;
    }
    let report = (self.dialect.inspect)(target.listing.address);
    drop(state);
    let gateway = self.clone();
    tokio::spawn(async move {
      time::sleep(relocation::REPORT_LAG).await;
      let now = gateway.clock.now();
      let leaves_in = report.await.and_then(|report| report.leaves_in);
      log::info!(target: PREFIX, leaves_in_ms = leaves_in.map(|time| time.as_millis() as u64); "An engine that leaves was asked when.");
      if let Some(leaves_in) = leaves_in {
        gateway.lock().roster.set_leaves_at(key, relocation::leaves_at(leaves_in, now));
      }
    });
  }

  /// Records that the platform gave no answer.
  pub fn missed_platform(&self, area: Area, error: &Error) {
    let first = self.lock().troubled.insert(area.name());
    if first {
      log::warn!(target: PREFIX, area = area.name(), error:? = error; "The platform cannot be read.");
    }
  }

  /// Takes a published catalog if it is newer than the one in force.
  pub(super) fn offer_catalog(&self, bytes: Bytes, asked: Option<Duration>, source: &str) {
    let catalog = match (self.dialect.read_catalog)(&bytes) {
      Ok(catalog) => catalog,
      Err(error) => {
        log::error!(target: PREFIX, source, error:% = error; "A catalog cannot be read; the one in force stays.");
        self.metrics.settings_refused.inc();
        return;
      }
    };
    let mut state = self.lock();
    let in_force = state.version();
    if catalog.version < in_force {
      self.metrics.stale_documents.inc();
      return;
    }
    if catalog.version > in_force {
      log::info!(target: PREFIX, version = catalog.version, in_force, source; "A catalog is in force.");
      state.catalog = Some(Arc::new(catalog));
      state.published = bytes;
      state.packed = None;
      state.freshness.restart(asked);
      drop(state);
      self.news.notify_one();
    } else if let Some(asked) = asked {
      state.freshness.confirm(asked);
    }
  }

  /// Returns the catalog in force, compressed, if it is above a version.
  pub(super) fn packed_catalog(&self, above: u64) -> Bytes {
    let state = self.lock();
    let version = state.version();
    if version <= above {
      return Bytes::new();
    }
    if let Some(packed) = &state.packed {
      return packed.clone();
    }
    let published = state.published.clone();
    drop(state);
    let packed = member::pack(&published);
    let mut state = self.lock();
    if state.version() == version {
      state.packed = Some(packed.clone());
    }
    packed
  }

  /// Records that the platform answered.
  pub fn reached_platform(&self, area: Area) {
    let now = self.clock.now();
    let mut state = self.lock();
    let last = state.answered.insert(area.name(), now);
    let silence = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
    if silence >= state.settings.promises.heartbeat * MISSED_HEARTBEATS {
      state.recovered = Some(now);
    }
    if state.troubled.remove(area.name()) {
      drop(state);
      log::info!(target: PREFIX, area = area.name(); "The platform can be read again.");
    }
  }

  /// Returns how this host follows an area.
  pub fn read_mode(&self, area: Area) -> Mode {
    let duty = self.duty();
    let state = self.lock();
    let fresh = state.freshness.age(self.clock.boot());
    duty.mode(area, fresh, state.listed_targets)
  }

  /// Returns the engines that are to be asked whether they leave.
  pub(super) fn engines_to_ask(&self) -> Vec<(Key, SocketAddr)> {
    let duty = self.duty();
    let now = self.clock.now();
    let state = self.lock();
    let Some((catalog, answered)) =
      state.catalog.as_ref().zip(state.answered.get(Area::Targets.name()))
    else {
      return Vec::new();
    };
    let silence = now.saturating_duration_since(*answered);
    let failed = state.troubled.contains(Area::Targets.name());
    if !duty.asks_engines(failed, silence) {
      return Vec::new();
    }
    let engines = state.roster.all().filter(|(key, target)| {
      state.roster.is_accepting(*key) && catalog.can_relocate(&target.listing.service)
    });
    engines.map(|(key, target)| (key, target.listing.address)).collect()
  }

  /// Returns this host's duties as a reader.
  pub fn duty(&self) -> Duty {
    self.lock().duty(self.clock.boot())
  }

  /// Takes in all documents of an area.
  pub fn replace(&self, area: Area, snapshot: Snapshot, asked: Duration) {
    match area {
      Area::Operator => self.replace_operator(snapshot, asked),
      Area::Targets => self.replace_targets(snapshot),
    }
  }

  fn replace_operator(&self, snapshot: Snapshot, asked: Duration) {
    let mut evacuated = Vec::new();
    for change in snapshot.changes {
      match change.subject {
        Subject::Catalog(Some(bytes)) => self.offer_catalog(bytes, Some(asked), "platform"),
        Subject::Evacuation {
          data_centre,
          out: true,
        } => evacuated.push(data_centre),
        _ => {}
      }
    }
    let mut state = self.lock();
    state.roster.set_evacuated(evacuated);
    state.operator_revision = state.operator_revision.max(snapshot.revision);
  }

  fn replace_targets(&self, snapshot: Snapshot) {
    let now = self.clock.now();
    let entries = snapshot.changes.into_iter().filter_map(|change| match change.subject {
      Subject::Target { id, listing } => Some((id, change.revision, listing)),
      _ => None,
    });
    let entries: Vec<_> = entries.collect();
    let mut state = self.lock();
    let recovering = state.recovering(now);
    if !state.listed_targets {
      log::info!(target: PREFIX, targets = entries.len(), revision = snapshot.revision, recovering; "Listed the targets.");
    }
    let leaving = state.roster.apply_snapshot(entries, snapshot.revision, recovering, now);
    state.listed_targets = true;
    drop(state);
    self.tell_leaving(&leaving, "platform");
  }

  /// Tells the tasks and the other hosts that targets leave.
  pub(super) fn tell_leaving(&self, keys: &[Key], source: &str) {
    // New targets, too, are a reason to look again.
    self.places.notify_waiters();
    if keys.is_empty() {
      return;
    }
    for key in keys {
      let state = self.lock();
      if let Some(target) = state.roster.get(*key) {
        log::info!(target: PREFIX, target:% = target.id, source; "A target leaves.");
        self.meters.leaves.with_label_values(&[source]).inc();
      }
    }
    for key in keys {
      self.learn_departure(*key);
    }
    self.roster_changes.send_modify(|count| *count += 1);
    if source != HOST {
      self.news.notify_one();
    }
  }

  pub(super) fn tick(&self) {
    let gone = self.lock().roster.tick(self.clock.now());
    if !gone.is_empty() {
      self.tell_leaving(&gone, "lapse");
    }
  }
}
