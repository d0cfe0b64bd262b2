use {
  super::{Area, Consistency, Error, Mode, Role, Store},
  crate::gateway::Gateway,
  anyhow::anyhow,
  std::time::Duration,
  tokio::time,
};

/// How long one question about the operator's documents waits for a change. It is longer
/// than the time for which a platform that drops its history keeps watches from hearing of
/// changes, so a question that ends without a change proves that there was none before it
/// was asked.
const OPERATOR_WAIT: Duration = Duration::from_secs(1);
/// How long one question about the targets waits for a change: a part of the notice that
/// engines give, so that a platform that fell silent is noticed in time.
pub(super) const TARGETS_WAIT: Duration = Duration::from_millis(300);
/// Time beyond the wait after which a connection counts as silent.
const WAIT_MARGIN: Duration = Duration::from_millis(500);
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);
const PREFIX: &str = "reader";

/// Follows an area until the task is dropped.
pub async fn run(gateway: Gateway, store: Store, area: Area) {
  let mut backoff = Duration::ZERO;
  loop {
    let currency = match gateway.read_mode(area) {
      Mode::Watch(_) => Consistency::Linearizable,
      Mode::Poll(_) => Consistency::Stale,
      Mode::Idle(rest) => {
        time::sleep(rest).await;
        continue;
      }
    };
    let asked = gateway.clock.boot();
    let listed = time::timeout(LIST_TIMEOUT, (store.list)(area, currency)).await;
    match listed.unwrap_or_else(|_| Err(timed_out())) {
      Ok(snapshot) => {
        backoff = Duration::ZERO;
        let revision = snapshot.revision;
        gateway.reached_platform(area);
        gateway.replace(area, snapshot, asked);
        match gateway.read_mode(area) {
          Mode::Watch(_) if currency == Consistency::Linearizable => {
            follow(&gateway, &store, area, revision).await;
          }
          Mode::Watch(_) => {}
          Mode::Poll(rest) | Mode::Idle(rest) => time::sleep(rest).await,
        }
      }
      Err(error) => {
        gateway.missed_platform(area, &error);
        backoff = pause(&gateway.duty(), backoff).await;
      }
    }
  }
}

/// Takes in changes while this host is to follow the area, or until the platform no
/// longer keeps those that are next.
async fn follow(gateway: &Gateway, store: &Store, area: Area, mut revision: u64) {
  let mut backoff = Duration::ZERO;
  while let Mode::Watch(rest) = gateway.read_mode(area) {
    let asked = gateway.clock.boot();
    let wait = match area {
      Area::Operator => OPERATOR_WAIT,
      Area::Targets => TARGETS_WAIT,
    };
    let watched = time::timeout(wait + WAIT_MARGIN, (store.watch)(area, revision, wait)).await;
    match watched.unwrap_or_else(|_| Err(timed_out())) {
      Ok(changes) => {
        backoff = Duration::ZERO;
        revision = changes.revision.max(revision);
        gateway.reached_platform(area);
        gateway.apply(area, changes, asked);
        time::sleep(rest).await;
      }
      Err(Error::Compacted) => {
        log::info!(target: PREFIX, area = area.name(), revision; "The history after the revision is gone; listing again.");
        return;
      }
      Err(error) => {
        gateway.missed_platform(area, &error);
        backoff = pause(&gateway.duty(), backoff).await;
      }
    }
  }
}

/// Waits with jitter, longer than `last`, and returns how long at most.
async fn pause(duty: &Role, last: Duration) -> Duration {
  let next = (last * 2).clamp(duty.first_backoff(), duty.longest_backoff());
  let jitter = rand::random_range(0.5..1.0);
  time::sleep(next.mul_f64(jitter)).await;
  next
}

fn timed_out() -> Error {
  Error::Unavailable(anyhow!("no answer in time"))
}
