use {
  super::{Gateway, gateway::HOST_SOURCE},
  crate::{
    member, origin,
    reader::{self, Area, Change, Changes, Copies, Error, Mode, Role, Snapshot, Subject},
    relocation,
    roster::Key,
  },
  bytes::Bytes,
  std::{net::SocketAddr, sync::Arc, time::Duration},
  tokio::time,
};

/// Number of heartbeats that a target must miss for the platform to remove its entry.
const MISSED_HEARTBEATS: u32 = 2;
const PREFIX: &str = "gateway";

impl Gateway {
  /// Applies changes from a watch on the platform, whose request was sent at `requested_at`.
  ///
  /// Ignores changes from before the store was restored.
  pub fn apply_changes(&self, area: Area, changes: Changes, requested_at: Duration) {
    if !self.lock().observe_era(changes.version.era, &self.clock) {
      return;
    }
    self.instruments.unreadable_items.inc_by(changes.unreadable as u64);
    let mut departing = Vec::new();
    for change in changes.changes {
      departing.extend(self.apply_change(change, requested_at));
    }
    // What cannot be read may be a newer catalog.
    if area == Area::Operator && changes.unreadable == 0 {
      let mut state = self.lock();
      if state.era.is_complete(requested_at) {
        state.freshness.confirm(requested_at);
      }
      state.operator_version = state.operator_version.max(changes.version);
    }
    self.announce_departures(&departing, "platform");
  }

  /// Applies one change; returns the target that leaves service because of it, if any.
  fn apply_change(&self, change: Change, requested_at: Duration) -> Option<Key> {
    let now = self.clock.now();
    let version = change.version;
    let revision = version.revision;
    match change.subject {
      Subject::Catalog(Some(bytes)) => {
        self.apply_catalog(bytes, Some(requested_at), "platform");
        None
      }
      Subject::Catalog(None) | Subject::Other => None,
      Subject::Evacuation { data_centre, out } => {
        log::info!(target: PREFIX, data_centre, out, revision; "A data centre was taken out of service or put back.");
        self.lock().roster.evacuate(&data_centre, out);
        None
      }
      Subject::Target { id, listing } => {
        if listing.is_none() {
          log::warn!(target: PREFIX, target:% = id, revision; "The entry of a target cannot be parsed.");
        }
        self.lock().roster.put(&id, version, listing, now)
      }
      Subject::TargetExpired { id } => {
        let mut state = self.lock();
        let recovering = state.is_recovering(now);
        log::info!(target: PREFIX, target:% = id, revision, recovering; "The entry of a target was removed.");
        state.roster.expire(&id, version, recovering, now)
      }
    }
  }

  /// Asks an engine that leaves service when its process ends, if this host has runs there that
  /// can be relocated.
  fn inspect_departure(&self, key: Key) {
    let state = self.lock();
    let Some(target) = state.roster.get(key) else {
      return;
    };
    let catalog = state.catalog.as_ref();
    if !catalog.is_some_and(|catalog| catalog.can_relocate(&target.listing.service))
      || target.leaves_at.is_some()
      || self.scheduler.lock().local_load(target.fingerprint).requests == 0
    {
      return;
    }
    let report = (self.dialect.inspect)(target.listing.address);
    drop(state);
    if !self.try_take_calls(key, 1.0) {
      return;
    }
    let gateway = self.clone();
    tokio::spawn(async move {
      time::sleep(relocation::REPORT_LAG).await;
      let now = gateway.clock.now();
      let shutdown_in = report.await.and_then(|report| report.shutdown_in);
      log::info!(target: PREFIX, leaves_in_ms = shutdown_in.map(|time| time.as_millis() as u64); "Asked an engine when its process ends.");
      if let Some(shutdown_in) = shutdown_in {
        gateway.lock().roster.set_leaves_at(key, relocation::leaves_at(shutdown_in, now));
      }
    });
  }

  /// Records that a read of the platform failed.
  pub fn record_read_failure(&self, area: Area, error: &Error) {
    let is_first = self.lock().failing_areas.insert(area.name());
    if is_first {
      log::warn!(target: PREFIX, area = area.name(), error:? = error; "Reads of the platform fail.");
    }
  }

  /// Activates a published catalog if it is newer than the active one.
  ///
  /// `requested_at` is when it was requested from the platform; `None` for a catalog from
  /// another host, which does not prove that the catalog is current.
  pub(super) fn apply_catalog(&self, bytes: Bytes, requested_at: Option<Duration>, source: &str) {
    let catalog = match (self.dialect.read_catalog)(&bytes) {
      Ok(catalog) => catalog,
      Err(error) => {
        log::error!(target: PREFIX, source, error:% = error; "A catalog cannot be parsed; the active one stays.");
        self.metrics.rejected_documents.inc();
        return;
      }
    };
    let mut state = self.lock();
    let in_force = state.catalog_version();
    if catalog.version < in_force {
      self.metrics.stale_documents.inc();
      return;
    }
    if catalog.version > in_force {
      log::info!(target: PREFIX, version = catalog.version, in_force, source; "Activated a catalog.");
      state.catalog = Some(Arc::new(catalog));
      state.encoded_catalog = bytes;
      state.compressed_catalog = None;
      self.heartbeat_trigger.notify_one();
    }
    // The confirmation of an older catalog holds for a newer one, too: when it was requested, no
    // version above that of the older catalog had been published.
    if let Some(requested_at) = requested_at.filter(|at| state.era.is_complete(*at)) {
      state.freshness.confirm(requested_at);
    }
  }

  /// Returns the active catalog in compressed form, or no bytes if its version is not above
  /// `above`.
  pub(super) fn compressed_catalog_above(&self, above: u64) -> Bytes {
    let state = self.lock();
    let version = state.catalog_version();
    if version <= above {
      return Bytes::new();
    }
    if let Some(compressed) = &state.compressed_catalog {
      return compressed.clone();
    }
    let encoded = state.encoded_catalog.clone();
    drop(state);
    let compressed = member::compress_catalog(&encoded);
    let mut state = self.lock();
    if state.catalog_version() == version {
      state.compressed_catalog = Some(compressed.clone());
    }
    compressed
  }

  /// Records that the platform responded.
  pub fn record_read_success(&self, area: Area) {
    let now = self.clock.now();
    let mut state = self.lock();
    let previous = state.last_reads.insert(area.name(), now);
    let silence = previous.map_or(Duration::ZERO, |previous| {
      now.saturating_duration_since(previous)
    });
    if silence >= state.settings.guarantees.heartbeat_interval * MISSED_HEARTBEATS {
      state.recovered_at = Some(now);
    }
    if state.failing_areas.remove(area.name()) {
      drop(state);
      log::info!(target: PREFIX, area = area.name(); "Reads of the platform succeed again.");
    }
  }

  /// Returns how this host is to read an area of the platform.
  pub fn read_mode(&self, area: Area) -> Mode {
    let role = self.role();
    let since_boot = self.clock.since_boot();
    let now = self.clock.now();
    let mut state = self.lock();
    let digest = state.roster.digest(now);
    let matches = state.members.target_digests(since_boot).any(|reader| reader == digest);
    let differ_since = match state.targets_differ_since {
      _ if matches => None,
      known => known.or(Some(now)),
    };
    state.targets_differ_since = differ_since;
    let age = |at| now.saturating_duration_since(at);
    let copies = Copies {
      catalog_age: state.freshness.age(since_boot),
      targets_age: state.targets_listed_at.map(age),
      targets_differ_for: differ_since.map(age),
      targets_valid_for: reader::targets_valid_for(
        state.settings.guarantees.drain_time,
        state.targets_freshness.age(since_boot),
      ),
    };
    role.mode(area, &copies)
  }

  /// Records that this host reads the targets as no other host has confirmed them in time.
  pub fn record_refresh(&self) {
    let age = self.lock().targets_freshness.age(self.clock.since_boot());
    self.instruments.target_refreshes.inc();
    log::info!(target: PREFIX, age_ms = age.map(|age| age.as_millis() as u64); "The targets were not confirmed in time; listing them.");
  }

  /// Records that the known targets were those in service at a time since boot.
  pub fn confirm_targets(&self, at: Duration) {
    self.lock().targets_freshness.confirm(at);
  }

  /// Records that this host need not read an area now, since others do; an outage of the platform
  /// begins for this host no earlier than now.
  pub fn record_idle(&self, area: Area) {
    let now = self.clock.now();
    self.lock().last_reads.insert(area.name(), now);
  }

  /// Returns the engines that this host is to poll for shutdowns because the platform does not
  /// respond; none while it responds.
  pub(super) fn engines_to_poll(&self) -> Vec<(Key, SocketAddr)> {
    let role = self.role();
    let now = self.clock.now();
    let state = self.lock();
    let Some((catalog, last_read)) =
      state.catalog.as_ref().zip(state.last_reads.get(Area::Targets.name()))
    else {
      return Vec::new();
    };
    let silence = now.saturating_duration_since(*last_read);
    let is_failing = state.failing_areas.contains(Area::Targets.name());
    if !role.polls_engines(is_failing, silence) {
      return Vec::new();
    }
    let engines = state.roster.all().filter(|(key, target)| {
      state.roster.is_accepting(*key)
        && state.pauses.end(*key, now).is_none()
        && catalog.can_relocate(&target.listing.service)
    });
    let engines: Vec<_> = engines.map(|(key, target)| (key, target.listing.address)).collect();
    drop(state);
    engines.into_iter().filter(|(key, _)| self.try_take_calls(*key, 1.0)).collect()
  }

  /// Returns this host's part in reading the platform.
  pub fn role(&self) -> Role {
    self.lock().role(self.clock.since_boot())
  }

  /// Applies a snapshot of all documents of an area, requested at `requested_at`.
  ///
  /// Ignores a snapshot from before the store was restored.
  pub fn apply_snapshot(&self, area: Area, snapshot: Snapshot, requested_at: Duration) {
    if !self.lock().observe_era(snapshot.version.era, &self.clock) {
      return;
    }
    self.instruments.unreadable_items.inc_by(snapshot.unreadable as u64);
    match area {
      Area::Operator => self.apply_operator_snapshot(snapshot, requested_at),
      Area::Targets => self.apply_target_snapshot(snapshot),
    }
  }

  fn apply_operator_snapshot(&self, snapshot: Snapshot, requested_at: Duration) {
    let mut evacuated = Vec::new();
    if snapshot.unreadable > 0 {
      // What cannot be read may be what keeps a data centre out of service.
      evacuated.extend(self.lock().roster.evacuated().map(str::to_owned));
    }
    for change in snapshot.changes {
      match change.subject {
        Subject::Catalog(Some(bytes)) => self.apply_catalog(bytes, Some(requested_at), "platform"),
        Subject::Evacuation {
          data_centre,
          out: true,
        } => evacuated.push(data_centre),
        _ => {}
      }
    }
    let mut state = self.lock();
    state.roster.set_evacuated(evacuated);
    state.operator_version = state.operator_version.max(snapshot.version);
  }

  fn apply_target_snapshot(&self, snapshot: Snapshot) {
    let now = self.clock.now();
    let entries = snapshot.changes.into_iter().filter_map(|change| match change.subject {
      Subject::Target { id, listing } => Some((id, change.version, listing)),
      _ => None,
    });
    let entries: Vec<_> = entries.collect();
    let mut state = self.lock();
    let recovering = state.is_recovering(now);
    if snapshot.unreadable > 0 {
      log::warn!(target: PREFIX, unreadable = snapshot.unreadable, is_cut = snapshot.is_cut; "Items of the platform cannot be read.");
    }
    if state.targets_listed_at.is_none() {
      log::info!(target: PREFIX, targets = entries.len(), revision = snapshot.version.revision, recovering; "Listed the targets.");
    }
    let departing = if snapshot.is_cut {
      state.roster.apply_cut_snapshot(entries, now)
    } else {
      state.roster.apply_snapshot(entries, snapshot.version, recovering, now)
    };
    if !snapshot.is_cut && snapshot.unreadable == 0 {
      state.roster.record_complete_list(snapshot.version);
    }
    state.targets_listed_at = Some(now);
    drop(state);
    self.announce_departures(&departing, "platform");
  }

  /// Records that this host has read all targets that were in service from one time to another, both since
  /// boot.
  pub fn record_targets_read(&self, from: Duration, until: Duration) {
    let now = self.clock.now();
    let mut state = self.lock();
    state.observe_versions(None, now);
    if state.era.is_complete(until) {
      state.origins.extend_coverage(origin::Coverage::new(Duration::ZERO, from, until));
    }
  }

  /// Returns whether lists of the store are still to show what was in service before this process started.
  pub fn needs_inventory(&self) -> bool {
    self.lock().history.is_some()
  }

  /// Records when all items of an area that was listed at a time since boot were written; the first lists of
  /// both areas show whether all targets that were in service before are known.
  pub fn record_inventory(&self, area: Area, inventory: origin::Inventory, requested_at: Duration) {
    let mut state = self.lock();
    let Some(history) = &mut state.history else {
      return;
    };
    match area {
      Area::Operator => history.record_documents(inventory),
      Area::Targets => history.record_targets(inventory, requested_at),
    }
    let Some((is_complete, until)) = history.verdict() else {
      return;
    };
    state.history = None;
    log::info!(target: PREFIX, is_complete; "The store shows whether a target left or changed since the first catalog was published.");
    let has_room = state.observe_versions(None, self.clock.now());
    if is_complete && has_room && state.era.is_complete(until) {
      let coverage = origin::Coverage::new(origin::STREAM_RETENTION, until, until);
      state.origins.extend_coverage(coverage);
    }
  }

  /// Announces targets that leave service to the tasks of this host and to the other hosts.
  ///
  /// Waiting requests are woken even if `keys` is empty, because targets may have been added.
  pub(super) fn announce_departures(&self, keys: &[Key], source: &str) {
    self.scheduler.notify_waiters();
    if keys.is_empty() {
      return;
    }
    for key in keys {
      let state = self.lock();
      if let Some(target) = state.roster.get(*key) {
        log::info!(target: PREFIX, target:% = target.id, source; "A target leaves service.");
        self.instruments.target_departures.with_label_values(&[source]).inc();
      }
    }
    for key in keys {
      self.inspect_departure(*key);
    }
    self.departures.send_modify(|count| *count += 1);
    if source != HOST_SOURCE {
      self.heartbeat_trigger.notify_one();
    }
  }

  /// Removes targets whose entries lapsed too long ago, and announces it.
  pub(super) fn expire_targets(&self) {
    let lapsed = self.lock().roster.remove_lapsed(self.clock.now());
    if !lapsed.is_empty() {
      self.announce_departures(&lapsed, "lapse");
    }
  }
}
