use {
  super::{Assignment, AssignmentKey, Entry, Load, LoadTable, Queue, Rank},
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
  tokio::sync::Notify,
};

/// The ledger of a host, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
  freed: Arc<Notify>,
  ledger: Arc<Mutex<LoadTable>>,
  queue: Arc<Mutex<Queue>>,
}

impl Scheduler {
  /// Waits until a request has left its target.
  pub async fn capacity_freed(&self) {
    self.freed.notified().await;
  }

  /// Enters a request into the queue of its service until the entry is dropped.
  pub fn enqueue(&self, service: &str, rank: Rank) -> Waiter {
    let ticket = self.queue().enqueue(service, rank);
    Waiter {
      places: self.clone(),
      service: service.to_owned(),
      ticket,
    }
  }

  fn queue(&self) -> MutexGuard<'_, Queue> {
    self.queue.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Locks the ledger.
  pub fn lock(&self) -> MutexGuard<'_, LoadTable> {
    self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Counts a request at a target until the place is dropped.
  pub fn reserve(&self, run: Assignment) -> Reservation {
    let key = self.lock().add(run);
    Reservation {
      key,
      places: self.clone(),
    }
  }

  /// Wakes those that wait for room.
  pub fn notify_waiters(&self) {
    self.freed.notify_waiters();
  }
}

/// One request's place at a target.
#[derive(Debug)]
pub struct Reservation {
  key: AssignmentKey,
  places: Scheduler,
}

impl Reservation {
  /// Records what the request takes now.
  pub fn update(&self, load: Load) {
    self.places.lock().update(self.key, load);
  }
}

impl Drop for Reservation {
  fn drop(&mut self) {
    self.places.lock().remove(self.key);
    self.places.notify_waiters();
  }
}

/// One request's entry in the queue of its service.
#[derive(Debug)]
pub struct Waiter {
  places: Scheduler,
  service: String,
  ticket: Entry,
}

impl Waiter {
  /// Returns whether it is this request's turn.
  pub fn is_first(&self) -> bool {
    self.places.queue().is_first(&self.service, self.ticket)
  }
}

impl Drop for Waiter {
  fn drop(&mut self) {
    self.places.queue().remove(&self.service, self.ticket);
    self.places.notify_waiters();
  }
}
