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

const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(100);

slotmap::new_key_type! {
  /// Names a target across revisions of the tree.
  pub struct Key;
}

/// What makes a target the same one across revisions of the tree.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize)]
pub struct Identity {
  /// Where it listens.
  pub address: SocketAddr,
  /// Its name within the service.
  pub name: String,
  /// The name of its service.
  pub service: String,
}

#[derive(Debug)]
struct Entry {
  data_centre: String,
  failures: u32,
  identity: Identity,
  in_flight: u64,
  limit: u64,
  listed: bool,
  /// When it may be tried again after it bore no more work.
  paused_until: Option<Instant>,
  retry_at: Option<Instant>,
  takes_work: bool,
}

/// A target that was chosen for a job.
#[derive(Debug)]
pub struct Chosen {
  /// Where it listens.
  pub address: SocketAddr,
  /// The name of its data centre.
  pub data_centre: String,
  /// The job's place at the target.
  pub in_flight: InFlight,
}

/// One row of the table, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
  /// Which target it is.
  #[serde(flatten)]
  pub identity: Identity,
  /// Jobs in hand there from this host.
  pub in_hand: u64,
  /// Whether the last connection failed.
  pub unreachable: bool,
  /// Whether it takes new work.
  pub takes_work: bool,
}

/// The targets of one host's view.
#[derive(Debug, Default)]
pub struct Table {
  entries: SlotMap<Key, Entry>,
  keys: HashMap<Identity, Key>,
  services: HashMap<String, Vec<Key>>,
}

impl Table {
  /// Chooses a target that is not in `tried` and counts the job there.
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
    let paused = entry.paused_until.is_some_and(|until| now < until);
    Some(Candidate {
      in_flight: entry.in_flight,
      key,
      limit: if paused { 0 } else { entry.limit },
      retry_at: entry.retry_at,
    })
  }

  /// Records whether a connection to the target could be made.
  ///
  /// Failures in a row double the time until the next attempt.
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

  /// Passes a target that bears no more work over for a short while.
  pub fn pause(&mut self, key: Key, now: Instant) {
    if let Some(entry) = self.entries.get_mut(key) {
      entry.paused_until = Some(now + PAUSE);
    }
  }

  /// Brings the table in line with an accepted tree.
  ///
  /// A target that left the tree is forgotten once no job is in hand there.
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
      let limit = tree.knobs(Some(target.service), Some(target.data_centre), None).in_hand;
      let data_centre = &tree.data_centres[target.data_centre].name;
      let key = self.upsert(identity, data_centre, limit, tree.takes_work(target));
      self.services.entry(service.clone()).or_default().push(key);
    }
    self.forget_idle();
  }

  fn forget_idle(&mut self) {
    self.entries.retain(|_, entry| entry.listed || entry.in_flight > 0);
    self.keys.retain(|_, key| self.entries.contains_key(*key));
  }

  /// Ends the count of one job.
  pub fn release(&mut self, key: Key) {
    if let Some(entry) = self.entries.get_mut(key) {
      entry.in_flight -= 1;
    }
  }

  /// Returns a row per target.
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

/// A table shared by the tasks of one host.
#[derive(Clone, Debug, Default)]
pub struct Targets {
  table: Arc<Mutex<Table>>,
}

impl Targets {
  /// Chooses a target and counts the job there.
  ///
  /// # Errors
  ///
  /// Returns the choice when it chose no target.
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

  /// Counts a job at the target with an address, if the table has it.
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
