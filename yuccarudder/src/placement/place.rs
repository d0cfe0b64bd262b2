use {
  super::{Ledger, Load, Queue, Rank, Run, RunKey, Ticket},
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
  tokio::sync::Notify,
};

/// The ledger of a host, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct Places {
  freed: Arc<Notify>,
  ledger: Arc<Mutex<Ledger>>,
  queue: Arc<Mutex<Queue>>,
}

impl Places {
  /// Waits until a request has left its target.
  pub async fn freed(&self) {
    self.freed.notified().await;
  }

  /// Enters a request into the queue of its service until the entry is dropped.
  pub fn enter(&self, service: &str, rank: Rank) -> Waiting {
    let ticket = self.queue().enter(service, rank);
    Waiting {
      places: self.clone(),
      service: service.to_owned(),
      ticket,
    }
  }

  fn queue(&self) -> MutexGuard<'_, Queue> {
    self.queue.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Locks the ledger.
  pub fn lock(&self) -> MutexGuard<'_, Ledger> {
    self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Counts a request at a target until the place is dropped.
  pub fn take(&self, run: Run) -> Place {
    let key = self.lock().add(run);
    Place {
      key,
      places: self.clone(),
    }
  }

  /// Wakes those that wait for room.
  pub fn wake(&self) {
    self.freed.notify_waiters();
  }
}

/// One request's place at a target.
#[derive(Debug)]
pub struct Place {
  key: RunKey,
  places: Places,
}

impl Place {
  /// Records what the request takes now.
  pub fn update(&self, load: Load) {
    self.places.lock().update(self.key, load);
  }
}

impl Drop for Place {
  fn drop(&mut self) {
    self.places.lock().remove(self.key);
    self.places.wake();
  }
}

/// One request's entry in the queue of its service.
#[derive(Debug)]
pub struct Waiting {
  places: Places,
  service: String,
  ticket: Ticket,
}

impl Waiting {
  /// Returns whether it is this request's turn.
  pub fn is_first(&self) -> bool {
    self.places.queue().is_first(&self.service, self.ticket)
  }
}

impl Drop for Waiting {
  fn drop(&mut self) {
    self.places.queue().leave(&self.service, self.ticket);
    self.places.wake();
  }
}
