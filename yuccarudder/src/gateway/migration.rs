//! Migrates the run of a stream from an engine that leaves service.
//!
//! A migration moves one run to another engine. First the run is copied: its engine, the source,
//! sends its KV cache to the destination while the run continues. Then `session` resumes the run
//! at the destination. The `relocation` module plans the copies of all runs on the engines that
//! leave together, so that the migrations of all hosts do not collide.

use {
  super::{Gateway, assignment::Assignment, call::Call, offer::Offer},
  crate::{
    dialect::CopyFn,
    relocation::{Copied, CopyRequest, Failure, Plan, Position, Run, Source, Window},
    roster::{Key, Target},
  },
  futures::future::{self, BoxFuture},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{sync::oneshot, time},
};

/// Delay before a new attempt if no engine has capacity for a run or a copy failed.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Engines whose departures are noticed within this time of each other are planned as one
/// group.
const DEPARTURE_GROUP_WINDOW: Duration = Duration::from_millis(1500);
/// Calls that a copy takes at the engine which the run leaves: the copy, and later one that stops the
/// run and one that frees the copy.
const CALLS_PER_COPY: f64 = 3.0;
/// Delay before a run that cannot be copied within the notice period is considered again; it may
/// finish before its engine is gone.
const TOO_SHORT_NOTICE_DELAY: Duration = Duration::from_secs(1);
const PREFIX: &str = "movement";
/// Time for an engine to cancel a run after its connection was closed. Users treat a run that is
/// active on two engines for 400 ms as a fault.
const DISCONNECT_GRACE_PERIOD: Duration = Duration::from_millis(100);
/// Time for an engine to stop a run whose answer was lost; one that runs answers after a round trip and the
/// copy.
const STOP_TIMEOUT: Duration = Duration::from_millis(300);

/// What a migration is waiting for.
enum Wait {
  Copy {
    reply: BoxFuture<'static, Result<Copied, Failure>>,
    destination: Box<Assignment>,
  },
  Delay(BoxFuture<'static, ()>),
}

/// The next step of a migration.
pub enum Step {
  /// An engine answered the request to copy the run.
  Copied {
    destination: Box<Assignment>,
    result: Result<Copied, Failure>,
  },
  /// It is time to copy the run.
  CopyDue,
}

/// The migration of a run to another engine.
#[derive(Default)]
pub struct Migration {
  plan: Option<Plan>,
  wait: Option<Wait>,
}

impl Migration {
  /// Cancels the migration; a copy in progress is released once it completes.
  pub fn cancel(&mut self, call: &Call, source: &Assignment) {
    if let Some(Wait::Copy { reply, destination }) = self.wait.take() {
      let gateway = call.gateway.clone();
      let address = source.target.listing.address;
      tokio::spawn(async move {
        // The reservation at the destination is held until the engines have freed the memory.
        let _destination = destination;
        if let Ok(copied) = reply.await {
          Offer::new(&gateway, address, copied.handle).free().await;
        }
      });
    }
  }

  /// Plans the migration of a run from a leaving engine and schedules its first step.
  pub fn begin(&mut self, call: &Call, source: &Assignment, run: Run) {
    self.plan = plan(call, source, run);
    let Some(plan) = &self.plan else {
      self.retry(call);
      return;
    };
    log::info!(
      target: PREFIX, id = call.id(), source:% = source.target.id, held = run.cached_tokens,
      start_ms = plan.start.as_millis() as u64, end_ms = plan.end.as_millis() as u64;
      "Planned to copy a run to another engine."
    );
    self.delay_until(call.gateway.clock.now());
  }

  /// Requests the planned copy if it is due; otherwise schedules the next check.
  pub fn try_copy(&mut self, call: &Call, source: &Assignment, run: Run) {
    let now = call.gateway.clock.now();
    let (noticed_at, window) = window(call, source);
    let Some(plan) = self.plan.take().or_else(|| plan_single(call, source, run)) else {
      self.retry(call);
      return;
    };
    let plan = self.plan.insert(plan);
    match window.request_at(plan).map(|delay| noticed_at + delay) {
      None => {
        log::info!(
          target: PREFIX, id = call.id(), source:% = source.target.id, end_ms = plan.end.as_millis() as u64,
          notice_ms = window.notice.map(|notice| notice.as_millis() as u64);
          "An engine leaves too soon for a run to be copied."
        );
        self.delay_until(now + TOO_SHORT_NOTICE_DELAY);
      }
      Some(due) if due > now => self.delay_until(due),
      Some(_) if !call.gateway.try_take_calls(source.key, CALLS_PER_COPY) => self.retry(call),
      Some(_) => match call.reserve_planned(plan.destination, run) {
        Some(destination) => self.request_copy(call, source, destination),
        None => self.retry(call),
      },
    }
  }

  /// Returns whether a copy is in progress.
  pub fn is_copying(&self) -> bool {
    matches!(self.wait, Some(Wait::Copy { .. }))
  }

  /// Returns whether no migration is in progress.
  pub fn is_idle(&self) -> bool {
    self.wait.is_none()
  }

  /// Waits for the next step; never resolves when no migration is in progress.
  pub async fn next(&mut self) -> Step {
    match &mut self.wait {
      None => future::pending().await,
      Some(Wait::Delay(end)) => end.await,
      Some(Wait::Copy { reply, .. }) => {
        let result = reply.await;
        let Some(Wait::Copy { destination, .. }) = self.wait.take() else {
          unreachable!("the migration was waiting for a copy");
        };
        return Step::Copied {
          destination,
          result,
        };
      }
    }
    self.wait = None;
    Step::CopyDue
  }

  fn request_copy(&mut self, call: &Call, source: &Assignment, destination: Assignment) {
    let reply = (call.gateway.dialect.copy)(CopyRequest {
      destination: destination.target.listing.address,
      request_id: call.id().to_owned(),
      source: source.target.listing.address,
      stop_first: false,
    });
    self.wait = Some(Wait::Copy {
      reply,
      destination: Box::new(destination),
    });
  }

  fn delay_until(&mut self, until: Instant) {
    self.wait = Some(Wait::Delay(Box::pin(time::sleep_until(until.into()))));
  }

  /// Discards the plan and schedules a new attempt after a short delay.
  pub fn retry(&mut self, call: &Call) {
    self.plan = None;
    self.delay_until(call.gateway.clock.now() + RETRY_DELAY);
  }
}

/// Ensures that an engine has stopped a run whose connection was closed.
///
/// Engines normally cancel a run when its connection is closed. If one does not, it is asked to
/// stop the run and copy it again, so that the run does not stay active on two engines; that copy
/// is released.
pub fn ensure_stopped(call: &Call, source: &Assignment, destination: &Assignment) {
  let stop = Stop::request(call, &source.target, destination.target.listing.address);
  tokio::spawn(async move {
    time::sleep(DISCONNECT_GRACE_PERIOD).await;
    drop(stop.finish().await);
  });
}

/// What became of the order to stop a run whose answer was lost.
#[derive(Default)]
pub struct Stopped {
  /// The copy of the run at its destination, if the engine had not stopped it.
  pub offer: Option<Offer>,
  /// Whether the engine has confirmed that it does not run it any more.
  pub is_certain: bool,
}

/// Stops a run whose answer was lost, before the request goes on at `destination`.
///
/// An engine that does not answer in time is not waited for: it has crashed or is out of reach. It is told
/// to free the copy once it answers.
pub async fn stop_lost_run(call: &Call, source: &Target, destination: SocketAddr) -> Stopped {
  let engine = call.service().and_then(|service| service.engine.as_ref());
  if engine.is_none_or(|engine| !engine.relocatable) {
    return Stopped::default();
  }
  let stop = Stop::request(call, source, destination);
  let (sender, receiver) = oneshot::channel();
  tokio::spawn(async move {
    // The task that waits may have given up.
    let _ = sender.send(stop.finish().await);
  });
  let stopped = time::timeout(STOP_TIMEOUT, receiver).await;
  stopped.ok().and_then(Result::ok).unwrap_or_default()
}

/// Stops a run whose answer was lost before its first event, before the request starts anew; returns whether
/// that is certain.
pub async fn stop_lost_start(call: &Call, source: &Target, destination: SocketAddr) -> bool {
  stop_lost_run(call, source, destination).await.is_certain
}

/// Stops a run whose answer was lost, before it is known where the request goes on: the copy goes to any
/// engine and is freed. Returns whether that is certain.
async fn stop_unplaced(call: &Call, source: &Target) -> bool {
  let other = {
    let state = call.gateway.lock();
    let mut accepting = state.roster.accepting(&call.service_name).map(|(_, target)| target);
    let other = accepting.find(|target| target.fingerprint != source.fingerprint);
    other.map(|target| target.listing.address)
  };
  stop_lost_start(call, source, other.unwrap_or(source.listing.address)).await
}

/// Stops a run whose answer was lost or is not used, before another host or engine goes on with the request;
/// returns whether that is certain.
///
/// Links that are only in doubt may reach the engine.
pub async fn stop_before_handover(call: &Call, source: &Target) -> bool {
  !call.gateway.has_lost_links(&call.service_name) && stop_unplaced(call, source).await
}

/// Targets that ran a request which another host passed on, and could not stop there.
pub struct OtherRuns {
  /// Those to which the request is not sent.
  pub avoided: Vec<Key>,
  /// Those that may still run it, with their fingerprints.
  pub unstopped: Vec<(Key, u64)>,
}

/// Stops the runs of a request that the host which passed it on could not stop.
///
/// The order of that host may still arrive and would stop a new run as well, so another target is preferred even
/// to one that confirms.
pub async fn stop_for_other_host(call: &Call) -> OtherRuns {
  let (sources, has_others) = {
    let state = call.gateway.lock();
    let fingerprints = call.metadata.unstopped_at.iter();
    let keys: Vec<Key> =
      fingerprints.flat_map(|fingerprint| state.roster.keys_of(*fingerprint)).collect();
    let has_others = state
      .roster
      .accepting(&call.service_name)
      .any(|(key, target)| !keys.contains(&key) && call.accepts_version(&target.listing.version));
    let sources = keys.into_iter().filter_map(|key| Some((key, state.roster.get(key)?.clone())));
    let sources = sources.filter(|(_, source)| source.listing.service == call.service_name);
    (sources.collect::<Vec<(Key, Target)>>(), has_others)
  };
  let stops = sources.iter().map(|(key, source)| async {
    let is_stopped = stop_unplaced(call, source).await;
    (!is_stopped).then_some((*key, source.fingerprint))
  });
  let unstopped: Vec<_> = future::join_all(stops).await.into_iter().flatten().collect();
  let avoided = if has_others {
    sources.into_iter().map(|(key, _)| key).collect()
  } else {
    unstopped.iter().map(|(key, _)| *key).collect()
  };
  OtherRuns { avoided, unstopped }
}

/// A request to an engine to stop a run.
struct Stop {
  copy: CopyFn,
  engine: Arc<str>,
  gateway: Gateway,
  request: CopyRequest,
}

impl Stop {
  fn request(call: &Call, source: &Target, destination: SocketAddr) -> Self {
    Self {
      copy: Arc::clone(&call.gateway.dialect.copy),
      engine: Arc::clone(&source.id),
      gateway: call.gateway.clone(),
      request: CopyRequest {
        destination,
        request_id: call.id().to_owned(),
        source: source.listing.address,
        stop_first: true,
      },
    }
  }

  /// Sends the request. A copy that only the source holds is freed.
  async fn finish(&self) -> Stopped {
    let result = (self.copy)(self.request.clone()).await;
    let (handle, is_complete, is_certain) = match result {
      Ok(copied) => (Some(copied.handle), true, true),
      Err(Failure::NoRoom(handle)) => {
        let is_stopped = handle.is_some();
        (handle, false, is_stopped)
      }
      Err(Failure::Unknown) => (None, false, true),
      Err(Failure::Busy | Failure::Unclear(_)) => (None, false, false),
    };
    if handle.is_some() {
      log::warn!(target: PREFIX, id = self.request.request_id.as_str(), engine:% = self.engine; "An engine did not cancel a run when its connection was closed; the run was stopped.");
    }
    let offer = handle.map(|handle| Offer::new(&self.gateway, self.request.source, handle));
    Stopped {
      offer: offer.filter(|_| is_complete),
      is_certain,
    }
  }
}

/// Plans the copy of a run together with those of all runs on the engines that leave at about the
/// same time.
fn plan(call: &Call, source: &Assignment, run: Run) -> Option<Plan> {
  let position = position(call, source);
  let state = call.gateway.lock();
  let noticed_at = state.roster.get(source.key).and_then(|target| target.leaving_since);
  let leaves_together = |target: &Target| {
    target.listing.service == call.service_name
      && target.listing.version == source.target.listing.version
      && target
        .leaving_since
        .zip(noticed_at)
        .is_some_and(|(a, b)| a.max(b).saturating_duration_since(a.min(b)) < DEPARTURE_GROUP_WINDOW)
  };
  let mut leaving: Vec<Target> = state
    .roster
    .all()
    .map(|(_, target)| target)
    .filter(|target| leaves_together(target))
    .cloned()
    .collect();
  drop(state);
  leaving.sort_by_key(|target| target.fingerprint);
  let load_table = call.gateway.scheduler.lock();
  let sources = leaving.iter().map(|target| {
    let load = load_table.total_load(target.fingerprint);
    Source {
      data_centre: &target.listing.data_centre,
      cached_tokens: load.used_tokens,
      fingerprint: target.fingerprint,
      runs: load.requests,
      peak_tokens: load.expected_tokens,
    }
  });
  let sources: Vec<Source<'_>> = sources.collect();
  drop(load_table);
  call.plan_migration(&sources, position, run, &source.target.listing.version)
}

/// Plans the copy of a single run after its first plan failed; by then the load of the targets
/// includes the copies of the other hosts.
fn plan_single(call: &Call, source: &Assignment, run: Run) -> Option<Plan> {
  let fingerprint = source.target.fingerprint;
  let single_source = Source {
    data_centre: &source.target.listing.data_centre,
    cached_tokens: run.cached_tokens,
    fingerprint,
    runs: 1,
    peak_tokens: run.peak_tokens,
  };
  call.plan_migration(
    &[single_source],
    Position {
      index: 0,
      fingerprint,
    },
    run,
    &source.target.listing.version,
  )
}

/// Returns the position of a run in the copy order that all hosts share: sorted by host
/// address, then by the order in which each host plans its runs.
fn position(call: &Call, source: &Assignment) -> Position {
  let gateway = &call.gateway;
  let fingerprint = source.target.fingerprint;
  let mut state = gateway.lock();
  let own_address = state.settings.peers;
  let hosts: Vec<_> =
    state.members.live(gateway.clock.since_boot()).map(|(host, _)| host).collect();
  let load_table = gateway.scheduler.lock();
  let preceding_hosts = hosts.into_iter().filter(|host| *host < own_address);
  let mut index =
    preceding_hosts.map(|host| load_table.peer_load(host, fingerprint).requests).sum();
  if let Some(planned) = state.planned_copies.entry(source.key).map(|planned| planned.or_default())
  {
    index += *planned;
    *planned += 1;
  }
  Position { index, fingerprint }
}

/// Returns when the departure of the source was noticed, and the window for copies from then on.
fn window(call: &Call, source: &Assignment) -> (Instant, Window) {
  let state = call.gateway.lock();
  let target = state.roster.get(source.key);
  let noticed_at = target.and_then(|target| target.leaving_since);
  let noticed_at = noticed_at.unwrap_or_else(|| call.gateway.clock.now());
  let leaves_at = target.and_then(|target| target.leaves_at);
  let notice = leaves_at.map(|leaves_at| leaves_at.saturating_duration_since(noticed_at));
  (noticed_at, Window { notice })
}
