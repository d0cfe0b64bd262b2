use {
  super::{Area, Consistency, Error, Mode, Store, Version},
  crate::gateway::Gateway,
  anyhow::anyhow,
  std::{mem, time::Duration},
  tokio::time,
};

/// How long a watch of the operator's documents waits for a change. It is longer than the time
/// for which a platform that drops its history withholds changes from watches, so a watch that
/// ends without a change proves that there was none before it was requested.
const OPERATOR_WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a watch of the targets waits for a change. It is a fraction of the notice that
/// engines give before they leave, so that an unresponsive platform is noticed in time.
pub(super) const TARGETS_WATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a platform that drops its history may withhold changes from watches.
const MAX_CHANGE_DELAY: Duration = OPERATOR_WATCH_TIMEOUT;
/// Time beyond the timeout of a watch after which the request counts as failed.
const WATCH_MARGIN: Duration = Duration::from_millis(500);
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Shortest time for which a target stays listed: one that leaves serves on, and one that crashes misses
/// some heartbeats first. A list shows all targets that were in service for as long before.
const MIN_LISTED_TIME: Duration = Duration::from_secs(2);
/// Time between two checks of the role during a back-off.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const PREFIX: &str = "reader";

/// Reads an area until the task is dropped.
pub async fn run(gateway: Gateway, store: Store, area: Area) {
  let mut backoff = Duration::ZERO;
  loop {
    let consistency = match gateway.read_mode(area) {
      Mode::Watch(_) => Consistency::Current,
      Mode::Refresh(_) => {
        gateway.record_refresh();
        Consistency::Current
      }
      Mode::Poll(_) => Consistency::Stale,
      Mode::Idle(pause) => {
        gateway.record_idle(area);
        time::sleep(pause).await;
        continue;
      }
    };
    let requested_at = gateway.clock.since_boot();
    let listed = time::timeout(LIST_TIMEOUT, (store.list)(area, consistency)).await;
    match listed.unwrap_or_else(|_| Err(timed_out())) {
      Ok(snapshot) => {
        backoff = Duration::ZERO;
        let version = snapshot.version;
        let is_proof = consistency == Consistency::Current && gateway.needs_inventory();
        let inventory = is_proof.then(|| snapshot.inventory()).flatten();
        // What a list left out may be of any version.
        let read_at = (!snapshot.is_cut).then_some(requested_at);
        gateway.record_read_success(area);
        gateway.apply_snapshot(area, snapshot, requested_at);
        if consistency == Consistency::Current
          && area == Area::Targets
          && let Some(read_at) = read_at
        {
          gateway.confirm_targets(read_at);
          gateway.record_targets_read(read_at.saturating_sub(MIN_LISTED_TIME), read_at);
        }
        if let Some(inventory) = inventory {
          gateway.record_inventory(area, inventory, requested_at);
        }
        match gateway.read_mode(area) {
          Mode::Watch(_) if consistency == Consistency::Current => {
            watch(&gateway, &store, area, version, read_at).await;
          }
          Mode::Watch(_) => {}
          Mode::Poll(pause) | Mode::Refresh(pause) | Mode::Idle(pause) => time::sleep(pause).await,
        }
      }
      Err(error) => {
        gateway.record_read_failure(area, &error);
        backoff = back_off(&gateway, backoff).await;
      }
    }
  }
}

/// Applies changes while this host is to watch the area, and returns early if the area is to be listed
/// again: if the platform no longer keeps the changes that come next, was restored from an older copy, or
/// sent something that cannot be read, in place of which the list shows what holds now. The state `listed`
/// was requested at `listed_at`; `None` if the list was cut.
async fn watch(
  gateway: &Gateway,
  store: &Store,
  area: Area,
  listed: Version,
  listed_at: Option<Duration>,
) {
  let mut read_until = listed_at;
  let mut revision = listed.revision;
  let mut backoff = Duration::ZERO;
  while let Mode::Watch(pause) = gateway.read_mode(area) {
    let requested_at = gateway.clock.since_boot();
    let timeout = match area {
      Area::Operator => OPERATOR_WATCH_TIMEOUT,
      Area::Targets => TARGETS_WATCH_TIMEOUT,
    };
    let watched = time::timeout(
      timeout + WATCH_MARGIN,
      (store.watch)(area, revision, timeout),
    )
    .await;
    match watched.unwrap_or_else(|_| Err(timed_out())) {
      Ok(changes) if changes.version.era != listed.era => {
        // The revision that the watch continued from was assigned to another change since.
        log::info!(target: PREFIX, area = area.name(), revision, era = changes.version.era; "The platform was restored from a copy; listing the area again.");
        return;
      }
      Ok(changes) => {
        let unreadable = changes.unreadable;
        let goes_on = unreadable == 0 && changes.version.revision >= revision;
        let at = mem::replace(&mut revision, changes.version.revision);
        gateway.record_read_success(area);
        gateway.apply_changes(area, changes, requested_at);
        if !goes_on {
          log::warn!(target: PREFIX, area = area.name(), after = at, revision, unreadable; "Changes of the platform cannot be read or its revision went back; listing the area again.");
          back_off(gateway, backoff).await;
          return;
        }
        backoff = Duration::ZERO;
        if area == Area::Targets
          && let Some(read_until) = &mut read_until
        {
          gateway.confirm_targets(requested_at);
          let shown = gateway.clock.since_boot().saturating_sub(MAX_CHANGE_DELAY);
          let until = shown.min(requested_at).max(*read_until);
          gateway.record_targets_read(*read_until, until);
          *read_until = until;
        }
        time::sleep(pause).await;
      }
      Err(Error::Compacted) => {
        log::info!(target: PREFIX, area = area.name(), revision; "The platform no longer keeps the changes after the revision; listing the area again.");
        return;
      }
      Err(error) => {
        gateway.record_read_failure(area, &error);
        backoff = back_off(gateway, backoff).await;
        if matches!(error, Error::Unreadable(_)) {
          return;
        }
      }
    }
  }
}

/// Pauses with jitter for half to all of the next back-off, and returns that back-off: twice `last`, within the
/// limits of the role. A host that becomes a reader meanwhile pauses no longer than a reader.
async fn back_off(gateway: &Gateway, last: Duration) -> Duration {
  let jitter = rand::random_range(0.5..1.0);
  let started_at = gateway.clock.now();
  loop {
    let role = gateway.role();
    let next = (last * 2).clamp(role.min_backoff(), role.max_backoff());
    let elapsed = gateway.clock.now().saturating_duration_since(started_at);
    let left = next.mul_f64(jitter).saturating_sub(elapsed);
    if left.is_zero() {
      return next;
    }
    time::sleep(left.min(ROLE_CHECK_INTERVAL)).await;
  }
}

fn timed_out() -> Error {
  Error::Unavailable(anyhow!("the platform did not respond in time"))
}
