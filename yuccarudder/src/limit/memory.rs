use {
  crate::refusal::{Reason, Refusal},
  slotmap::SlotMap,
  std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio_util::sync::CancellationToken,
};

/// Retry time suggested to a refused caller.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Bytes of one unit of a budget.
const UNIT_BYTES: u64 = 1024;

slotmap::new_key_type! {
  /// Identifies a reservation.
  struct Key;
}

/// The units of a reservation.
#[derive(Debug)]
struct Holding {
  /// Cancelled when the reservation is evicted.
  evicted: CancellationToken,
  /// The place among those that may be evicted; `None` while it may not be.
  order: Option<u64>,
  units: u64,
}

#[derive(Debug)]
struct State {
  /// The reservations that may be evicted; the one without progress for longest is the first.
  evictable: BTreeMap<u64, Key>,
  evictable_units: u64,
  free: u64,
  holdings: SlotMap<Key, Holding>,
  next_order: u64,
}

impl State {
  /// Takes units for `key`, from reservations that may be evicted if necessary; returns whether there are
  /// enough. It takes none otherwise.
  fn take(&mut self, units: u64, key: Option<Key>) -> bool {
    let own = key.and_then(|key| self.holdings.get(key));
    let own_units = own.filter(|own| own.order.is_some()).map_or(0, |own| own.units);
    if self.free + self.evictable_units - own_units < units {
      return false;
    }
    while self.free < units {
      let first = self.evictable.values().find(|first| Some(**first) != key);
      match first {
        Some(first) => self.evict(*first),
        None => return false,
      }
    }
    self.free -= units;
    true
  }

  fn evict(&mut self, key: Key) {
    if let Some(holding) = self.remove(key) {
      holding.evicted.cancel();
    }
  }

  fn remove(&mut self, key: Key) -> Option<Holding> {
    self.set_order(key, false);
    let holding = self.holdings.remove(key)?;
    self.free += holding.units;
    Some(holding)
  }

  /// Makes a reservation the last of those that may be evicted, or none of them.
  fn set_order(&mut self, key: Key, is_evictable: bool) {
    let Some(holding) = self.holdings.get_mut(key) else {
      return;
    };
    if let Some(order) = holding.order.take() {
      self.evictable.remove(&order);
      self.evictable_units -= holding.units;
    }
    if is_evictable {
      holding.order = Some(self.next_order);
      self.evictable.insert(self.next_order, key);
      self.evictable_units += holding.units;
      self.next_order += 1;
    }
  }

  /// Adds to the units of a reservation, or takes from them.
  fn set_units(&mut self, key: Key, units: u64) {
    if let Some(holding) = self.holdings.get_mut(key) {
      if holding.order.is_some() {
        self.evictable_units = self.evictable_units - holding.units + units;
      }
      holding.units = units;
    }
  }
}

/// A budget of memory on one host, such as that for request bodies and answers that are fully buffered.
///
/// When it is used up, the reservations that wait for bytes of a caller are evicted for others, the one
/// without progress for longest first.
#[derive(Clone, Debug)]
pub struct Memory {
  state: Arc<Mutex<State>>,
}

impl Memory {
  /// Creates a budget of `bytes`, rounded down to whole KiB.
  pub fn new(bytes: u64) -> Self {
    let state = State {
      evictable: BTreeMap::new(),
      evictable_units: 0,
      free: bytes / UNIT_BYTES,
      holdings: SlotMap::with_key(),
      next_order: 0,
    };
    Self {
      state: Arc::new(Mutex::new(state)),
    }
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Returns the reserved bytes.
  #[cfg(test)]
  pub(super) fn reserved(&self) -> u64 {
    self.lock().holdings.values().map(|holding| holding.units * UNIT_BYTES).sum()
  }

  /// Reserves `bytes`, rounded up to whole KiB.
  ///
  /// # Errors
  ///
  /// Refuses when less than that is left.
  pub fn reserve(&self, bytes: u64) -> Result<Reservation, Refusal> {
    let units = bytes.div_ceil(UNIT_BYTES);
    let mut state = self.lock();
    if !state.take(units, None) {
      return Err(exhausted());
    }
    let evicted = CancellationToken::new();
    let key = state.holdings.insert(Holding {
      evicted: evicted.clone(),
      order: None,
      units,
    });
    drop(state);
    Ok(Reservation {
      evicted,
      key,
      memory: self.clone(),
    })
  }

  /// Reserves `bytes` that are evicted when others need them, until the reservation is held.
  ///
  /// # Errors
  ///
  /// Refuses when less than that is left.
  pub fn reserve_evictable(&self, bytes: u64) -> Result<Reservation, Refusal> {
    let reservation = self.reserve(bytes)?;
    reservation.release();
    Ok(reservation)
  }
}

fn exhausted() -> Refusal {
  Refusal::not_run(Reason::HostBusy).with_retry_after(RETRY_AFTER)
}

/// Reserved memory, released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
  evicted: CancellationToken,
  key: Key,
  memory: Memory,
}

impl Reservation {
  /// Waits until the reservation is evicted.
  pub async fn evicted(&self) {
    self.evicted.cancelled().await;
  }

  /// Grows to `bytes`, rounded up to whole KiB, unless it is larger.
  ///
  /// # Errors
  ///
  /// Refuses when less than that is left, or when the reservation has been evicted.
  pub fn grow(&self, bytes: u64) -> Result<(), Refusal> {
    let units = bytes.div_ceil(UNIT_BYTES);
    let mut state = self.memory.lock();
    let held = state.holdings.get(self.key).ok_or_else(stalled)?.units;
    if units <= held {
      return Ok(());
    }
    if !state.take(units - held, Some(self.key)) {
      return Err(exhausted());
    }
    state.set_units(self.key, units);
    Ok(())
  }

  /// Keeps the reservation from being evicted.
  ///
  /// # Errors
  ///
  /// Refuses when it has been evicted.
  pub fn hold(&self) -> Result<(), Refusal> {
    let mut state = self.memory.lock();
    if !state.holdings.contains_key(self.key) {
      return Err(stalled());
    }
    state.set_order(self.key, false);
    Ok(())
  }

  /// Returns whether the reservation may be evicted.
  pub fn is_evictable(&self) -> bool {
    let state = self.memory.lock();
    state.holdings.get(self.key).is_some_and(|holding| holding.order.is_some())
  }

  /// Records progress of a reservation that may be evicted.
  pub fn record_progress(&self) {
    let mut state = self.memory.lock();
    if state.holdings.get(self.key).is_some_and(|holding| holding.order.is_some()) {
      state.set_order(self.key, true);
    }
  }

  /// Lets the reservation be evicted when others need the memory.
  pub fn release(&self) {
    self.memory.lock().set_order(self.key, true);
  }

  /// Releases all but `bytes`, rounded up to whole KiB.
  pub fn shrink(&self, bytes: u64) {
    let kept = bytes.div_ceil(UNIT_BYTES);
    let mut state = self.memory.lock();
    let held = state.holdings.get(self.key).map_or(0, |holding| holding.units);
    if kept < held {
      state.set_units(self.key, kept);
      state.free += held - kept;
    }
  }
}

impl Drop for Reservation {
  fn drop(&mut self) {
    self.memory.lock().remove(self.key);
  }
}

/// Refuses a request whose body made room for others.
pub(super) fn stalled() -> Refusal {
  Refusal::not_run(Reason::BodyStalled).with_retry_after(RETRY_AFTER)
}
