use {
  super::{Candidate, Choice, InFlight, choose},
  crate::tree::Tree,
  serde::Serialize,
  slotmap::SlotMap,
  std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
};

/// Maximum delay until the next attempt after consecutive failed connections.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay until the next attempt after the first failed connection.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a target that cannot take more work is skipped.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(100);

slotmap::new_key_type! {
  /// The key of a target in the table, which stays the same across revisions of the settings
  /// tree.
  pub struct Key;
}

/// The attributes that identify a target across revisions of the settings tree.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize)]
pub struct Identity {
  /// Address at which the target listens.
  pub address: SocketAddr,
  /// Its name, unique within the service.
  pub name: String,
  /// The name of its service.
  pub service: String,
}

#[derive(Debug)]
struct Entry {
  data_centre: String,
  /// Number of consecutive failed connections.
  failures: u32,
  identity: Identity,
  in_flight: u64,
  /// Maximum number of jobs in flight.
  limit: u64,
  /// Whether the current settings tree contains the target.
  listed: bool,
  /// Time until which it is skipped because it could not take more work.
  paused_until: Option<Instant>,
  /// Earliest time of the next attempt after a failed connection.
  retry_at: Option<Instant>,
  takes_work: bool,
}

/// A target that was selected for a job.
#[derive(Debug)]
pub struct Chosen {
  /// Address at which the target listens.
  pub address: SocketAddr,
  /// The name of its data centre.
  pub data_centre: String,
  /// Guard that counts the job as in flight at the target.
  pub in_flight: InFlight,
}

/// One row of the table, as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
  /// The identity of the target.
  #[serde(flatten)]
  pub identity: Identity,
  /// Number of jobs that this host has in flight at the target.
  pub in_hand: u64,
  /// Whether the last connection failed.
  pub unreachable: bool,
  /// Whether it takes new work.
  pub takes_work: bool,
}

/// The targets that one host knows, with their state.
#[derive(Debug, Default)]
pub struct Table {
  entries: SlotMap<Key, Entry>,
  keys: HashMap<Identity, Key>,
  services: HashMap<String, Vec<Key>>,
}

impl Table {
  /// Selects a target that is not in `tried` and counts a job as in flight there.
  pub fn acquire(&mut self, service: &str, tried: &[Key], now: Instant, random: u64) -> Choice {
    let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
    let candidates =
      keys.iter().filter(|key| !tried.contains(key)).filter_map(|key| self.candidate(*key, now));
    let choice = choose(candidates, now, random);
    if let Choice::Chosen(key) = choice {
      self.entries[key].in_flight += 1;
    }
    choice
  }

  fn candidate(&self, key: Key, now: Instant) -> Option<Candidate> {
    let entry = self.entries.get(key).filter(|entry| entry.takes_work)?;
    let is_paused = entry.paused_until.is_some_and(|until| now < until);
    Some(Candidate {
      in_flight: entry.in_flight,
      key,
      limit: if is_paused { 0 } else { entry.limit },
      retry_at: entry.retry_at,
    })
  }

  /// Records whether a connection to the target was established.
  ///
  /// Consecutive failures double the delay until the next attempt.
  pub fn record_connection(&mut self, key: Key, connected: bool, now: Instant) {
    let Some(entry) = self.entries.get_mut(key) else {
      return;
    };
    if connected {
      entry.failures = 0;
      entry.retry_at = None;
      return;
    }
    let delay = MIN_RETRY_DELAY.saturating_mul(1 << entry.failures.min(10));
    entry.failures += 1;
    entry.retry_at = Some(now + delay.min(MAX_RETRY_DELAY));
  }

  /// Returns whether the target still takes new work.
  pub fn takes_work(&self, key: Key) -> bool {
    self.entries.get(key).is_some_and(|entry| entry.takes_work)
  }

  /// Excludes a target that cannot take more work from selection for `OVERLOAD_PAUSE`.
  pub fn pause(&mut self, key: Key, now: Instant) {
    if let Some(entry) = self.entries.get_mut(key) {
      entry.paused_until = Some(now + OVERLOAD_PAUSE);
    }
  }

  /// Updates the table to an accepted settings tree.
  ///
  /// A target that was removed from the tree stays in the table while jobs are in flight
  /// there. It is dropped by the next update after they have ended.
  pub fn reconcile(&mut self, tree: &Tree) {
    for entry in self.entries.values_mut() {
      entry.listed = false;
      entry.takes_work = false;
    }
    self.services.clear();
    for target in tree.targets.values() {
      let service = &tree.services[target.service].name;
      let identity = Identity {
        address: target.address,
        name: target.name.clone(),
        service: service.clone(),
      };
      let limit = tree.settings(Some(target.service), Some(target.data_centre), None).in_hand;
      let data_centre = &tree.data_centres[target.data_centre].name;
      let key = self.upsert(identity, data_centre, limit, tree.takes_work(target));
      self.services.entry(service.clone()).or_default().push(key);
    }
    self.drop_unlisted();
  }

  fn drop_unlisted(&mut self) {
    self.entries.retain(|_, entry| entry.listed || entry.in_flight > 0);
    self.keys.retain(|_, key| self.entries.contains_key(*key));
  }

  /// Counts one job fewer as in flight at the target.
  pub fn release(&mut self, key: Key) {
    if let Some(entry) = self.entries.get_mut(key) {
      entry.in_flight -= 1;
    }
  }

  /// Returns a row for each target, sorted by service and name.
  pub fn rows(&self) -> Vec<Row> {
    let rows = self.entries.values().map(|entry| Row {
      identity: entry.identity.clone(),
      in_hand: entry.in_flight,
      takes_work: entry.takes_work,
      unreachable: entry.retry_at.is_some(),
    });
    let mut rows: Vec<Row> = rows.collect();
    rows.sort_by(|a, b| {
      (&a.identity.service, &a.identity.name).cmp(&(&b.identity.service, &b.identity.name))
    });
    rows
  }

  fn upsert(&mut self, identity: Identity, data_centre: &str, limit: u64, takes_work: bool) -> Key {
    if let Some(key) = self.keys.get(&identity) {
      let entry = &mut self.entries[*key];
      entry.data_centre = data_centre.into();
      entry.limit = limit;
      entry.listed = true;
      entry.takes_work = takes_work;
      return *key;
    }
    let key = self.entries.insert(Entry {
      data_centre: data_centre.into(),
      failures: 0,
      identity: identity.clone(),
      in_flight: 0,
      limit,
      listed: true,
      paused_until: None,
      retry_at: None,
      takes_work,
    });
    self.keys.insert(identity, key);
    key
  }
}

/// The table of targets, shared by the tasks of one host.
#[derive(Clone, Debug, Default)]
pub struct Targets {
  table: Arc<Mutex<Table>>,
}

impl Targets {
  /// Selects a target that is not in `tried` and counts a job as in flight there.
  ///
  /// # Errors
  ///
  /// Returns the choice if no target was selected.
  pub fn acquire(
    &self,
    service: &str,
    tried: &[Key],
    now: Instant,
    random: u64,
  ) -> Result<Chosen, Choice> {
    let mut table = self.lock();
    match table.acquire(service, tried, now, random) {
      Choice::Chosen(key) => Ok(self.chosen(&table, key)),
      choice => Err(choice),
    }
  }

  /// Counts a job as in flight at the target of a service with the given address.
  ///
  /// Returns `None` if the settings tree has no such target.
  pub fn acquire_at(&self, service: &str, address: SocketAddr) -> Option<Chosen> {
    let mut table = self.lock();
    let key = *table
      .services
      .get(service)?
      .iter()
      .find(|key| table.entries[**key].identity.address == address)?;
    table.entries[key].in_flight += 1;
    Some(self.chosen(&table, key))
  }

  fn chosen(&self, table: &Table, key: Key) -> Chosen {
    let entry = &table.entries[key];
    Chosen {
      address: entry.identity.address,
      data_centre: entry.data_centre.clone(),
      in_flight: InFlight::new(self.clone(), key),
    }
  }

  /// Locks the table.
  pub fn lock(&self) -> MutexGuard<'_, Table> {
    self.table.lock().unwrap_or_else(PoisonError::into_inner)
  }

  pub(super) fn release(&self, key: Key) {
    self.lock().release(key);
  }
}
