use {
  super::{Assignment, AssignmentKey, Entry, Load, LoadTable, Queue, Rank},
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
  tokio::sync::Notify,
};

/// The load table and the wait queue of a host, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
  capacity_freed: Arc<Notify>,
  load_table: Arc<Mutex<LoadTable>>,
  queue: Arc<Mutex<Queue>>,
}

impl Scheduler {
  /// Waits until capacity may have become free or the queue has changed.
  pub async fn capacity_freed(&self) {
    self.capacity_freed.notified().await;
  }

  /// Adds a request that is expected to need a number of KV cache tokens to the queue of its service; dropping the
  /// result removes it.
  pub fn enqueue(&self, service: &str, rank: Rank, need: u64) -> Waiter {
    let entry = self.queue().enqueue(service, rank, need);
    Waiter {
      scheduler: self.clone(),
      service: service.to_owned(),
      entry,
    }
  }

  /// Returns the first `count` waiting requests of a service in their order, and the number of all.
  pub fn first_waiting(&self, service: &str, count: usize) -> (Vec<Entry>, usize) {
    self.queue().first(service, count)
  }

  fn queue(&self) -> MutexGuard<'_, Queue> {
    self.queue.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Locks the load table.
  pub fn lock(&self) -> MutexGuard<'_, LoadTable> {
    self.load_table.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Adds the load of a request of a client account to its target; dropping the result removes it.
  pub fn reserve(&self, assignment: Assignment, account: Option<u64>) -> Reservation {
    let key = self.lock().add_for(assignment, account);
    Reservation {
      key,
      scheduler: self.clone(),
    }
  }

  /// Wakes the tasks that wait for capacity.
  pub fn notify_waiters(&self) {
    self.capacity_freed.notify_waiters();
  }
}

/// The capacity that a request reserves at a target; released on drop.
#[derive(Debug)]
pub struct Reservation {
  key: AssignmentKey,
  scheduler: Scheduler,
}

impl Reservation {
  /// Replaces the load of the request.
  pub fn update(&self, load: Load) {
    self.scheduler.lock().update(self.key, load);
  }
}

impl Drop for Reservation {
  fn drop(&mut self) {
    self.scheduler.lock().remove(self.key);
    self.scheduler.notify_waiters();
  }
}

/// A request that waits in the queue of its service; removed on drop.
#[derive(Debug)]
pub struct Waiter {
  scheduler: Scheduler,
  service: String,
  entry: Entry,
}

impl Waiter {
  /// Returns its entry in the queue.
  pub fn entry(&self) -> Entry {
    self.entry
  }

  /// Returns whether the request is the first in the queue of its service.
  pub fn is_first(&self) -> bool {
    self.scheduler.queue().is_first(&self.service, self.entry)
  }
}

impl Drop for Waiter {
  fn drop(&mut self) {
    self.scheduler.queue().remove(&self.service, self.entry);
    self.scheduler.notify_waiters();
  }
}
