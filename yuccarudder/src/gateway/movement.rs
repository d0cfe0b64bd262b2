use {
  super::{call::Call, placed::Spot},
  crate::{
    relocation::{Copied, Failure, Order, Plan, Position, Run, Source, Window},
    roster::Target,
  },
  futures::future::{self, BoxFuture},
  std::time::{Duration, Instant},
  tokio::time,
};

/// Pause before another try after an engine did not copy.
const RETRY: Duration = Duration::from_millis(40);
/// Engines whose leaves were noticed within this time leave together.
const TOGETHER: Duration = Duration::from_millis(1500);
/// Pause of a run that cannot be copied in time; it may end by itself before its engine.
const HOPELESS: Duration = Duration::from_secs(1);
const PREFIX: &str = "movement";
/// Time that an engine is given to notice that a connection was closed; users take a run
/// that goes on at two engines for 400 ms for a fault.
const STOP_DELAY: Duration = Duration::from_millis(100);

/// What a move waits for.
enum Wait {
  Copy {
    answer: BoxFuture<'static, Result<Copied, Failure>>,
    destination: Box<Spot>,
  },
  Pause(BoxFuture<'static, ()>),
}

/// What a move has come to.
pub enum Step {
  /// An engine answered the order to copy.
  Copied {
    destination: Box<Spot>,
    result: Result<Copied, Failure>,
  },
  /// It is time to copy the run.
  CopyDue,
}

/// The move of a run to another engine.
#[derive(Default)]
pub struct Movement {
  plan: Option<Plan>,
  wait: Option<Wait>,
}

impl Movement {
  /// Gives the move up and frees what a copy on its way will take.
  pub fn abandon(&mut self, call: &Call, source: &Spot) {
    if let Some(Wait::Copy {
      answer,
      destination,
    }) = self.wait.take()
    {
      let release = call.gateway.dialect.release.clone();
      let address = source.target.listing.address;
      tokio::spawn(async move {
        // The place is kept until the engines have freed the memory.
        let _destination = destination;
        if let Ok(copied) = answer.await {
          release(address, copied.handle).await;
        }
      });
    }
  }

  /// Begins to move a run from an engine that leaves.
  pub fn begin(&mut self, call: &Call, source: &Spot, run: Run) {
    self.plan = plan(call, source, run);
    let Some(plan) = &self.plan else {
      self.retry(call);
      return;
    };
    log::info!(
      target: PREFIX, id = call.id(), source:% = source.target.id, held = run.held,
      start_ms = plan.start.as_millis() as u64, end_ms = plan.end.as_millis() as u64;
      "Planned the copy of a run."
    );
    self.pause(call.gateway.clock.now());
  }

  /// Orders the copy to another engine when it is due.
  pub fn copy(&mut self, call: &Call, source: &Spot, run: Run) {
    let now = call.gateway.clock.now();
    let (since, window) = window(call, source);
    let Some(plan) = self.plan.take().or_else(|| plan_alone(call, source, run)) else {
      self.retry(call);
      return;
    };
    let plan = self.plan.insert(plan);
    match window.copy_at(plan).map(|at| since + at) {
      None => {
        log::info!(
          target: PREFIX, id = call.id(), source:% = source.target.id, end_ms = plan.end.as_millis() as u64,
          notice_ms = window.notice.map(|notice| notice.as_millis() as u64);
          "The notice is too short to copy a run."
        );
        self.pause(now + HOPELESS);
      }
      Some(due) if due > now => self.pause(due),
      Some(_) => match call.take_planned(plan.destination, run) {
        Some(destination) => self.order(call, source, destination),
        None => self.retry(call),
      },
    }
  }

  /// Returns whether a copy is on its way.
  pub fn is_copying(&self) -> bool {
    matches!(self.wait, Some(Wait::Copy { .. }))
  }

  /// Returns whether nothing is being moved.
  pub fn is_idle(&self) -> bool {
    self.wait.is_none()
  }

  /// Waits for the next step; for ever when nothing is being moved.
  pub async fn next(&mut self) -> Step {
    match &mut self.wait {
      None => future::pending().await,
      Some(Wait::Pause(end)) => end.await,
      Some(Wait::Copy { answer, .. }) => {
        let result = answer.await;
        let Some(Wait::Copy { destination, .. }) = self.wait.take() else {
          unreachable!("the wait was for a copy");
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

  fn order(&mut self, call: &Call, source: &Spot, destination: Spot) {
    let answer = (call.gateway.dialect.relocate)(Order {
      destination: destination.target.listing.address,
      request_id: call.id().to_owned(),
      source: source.target.listing.address,
      stop: false,
    });
    self.wait = Some(Wait::Copy {
      answer,
      destination: Box::new(destination),
    });
  }

  fn pause(&mut self, until: Instant) {
    self.wait = Some(Wait::Pause(Box::pin(time::sleep_until(until.into()))));
  }

  /// Tries again after a short pause.
  pub fn retry(&mut self, call: &Call) {
    self.plan = None;
    self.pause(call.gateway.clock.now() + RETRY);
  }
}

/// Makes sure that an engine has stopped a run whose connection was closed.
///
/// Engines drop a run with its connection. One that does not is told to stop, so that the
/// run never goes on at two engines.
pub fn ensure_stopped(call: &Call, source: &Spot, destination: &Spot) {
  let dialect = &call.gateway.dialect;
  let release = dialect.release.clone();
  let address = source.target.listing.address;
  let stopped = (dialect.relocate)(Order {
    destination: destination.target.listing.address,
    request_id: call.id().to_owned(),
    source: address,
    stop: true,
  });
  let id = call.id().to_owned();
  let engine = source.target.id.clone();
  tokio::spawn(async move {
    time::sleep(STOP_DELAY).await;
    let handle = match stopped.await {
      Ok(copied) => copied.handle,
      Err(Failure::NoRoom(Some(handle))) => handle,
      Err(_) => return,
    };
    log::warn!(target: PREFIX, id = id.as_str(), engine:% = engine; "An engine went on with a run whose connection was closed; it was stopped.");
    release(address, handle).await;
  });
}

/// Plans the copy of a run with what this host knows of all runs at engines that leave.
fn plan(call: &Call, source: &Spot, run: Run) -> Option<Plan> {
  let position = position(call, source);
  let state = call.gateway.lock();
  let since = state.roster.get(source.key).and_then(|target| target.leaving_since);
  let together = |target: &Target| {
    target.listing.service == call.service
      && target.leaving_since.zip(since).is_some_and(|(one, other)| {
        one.max(other).saturating_duration_since(one.min(other)) < TOGETHER
      })
  };
  let mut leaving: Vec<Target> = state
    .roster
    .all()
    .map(|(_, target)| target)
    .filter(|target| together(target))
    .cloned()
    .collect();
  drop(state);
  leaving.sort_by_key(|target| target.fingerprint);
  let ledger = call.gateway.scheduler.lock();
  let sources = leaving.iter().map(|target| {
    let load = ledger.load(target.fingerprint);
    Source {
      data_centre: &target.listing.data_centre,
      held: load.held,
      process: target.fingerprint,
      runs: load.runs,
      tokens: load.tokens,
    }
  });
  let sources: Vec<Source<'_>> = sources.collect();
  drop(ledger);
  call.plan_move(&sources, position, run)
}

/// Plans the copy of a run whose plan failed, when the other hosts' copies are known.
fn plan_alone(call: &Call, source: &Spot, run: Run) -> Option<Plan> {
  let process = source.target.fingerprint;
  let own = Source {
    data_centre: &source.target.listing.data_centre,
    held: run.held,
    process,
    runs: 1,
    tokens: run.tokens,
  };
  call.plan_move(&[own], Position { index: 0, process }, run)
}

/// Returns the place of a run in the order that all hosts share: by host, then by when
/// the host's runs are planned.
fn position(call: &Call, source: &Spot) -> Position {
  let gateway = &call.gateway;
  let process = source.target.fingerprint;
  let mut state = gateway.lock();
  let this = state.settings.peers;
  let hosts: Vec<_> = state.members.live(gateway.clock.boot()).map(|(host, _)| host).collect();
  let ledger = gateway.scheduler.lock();
  let before = hosts.into_iter().filter(|host| *host < this);
  let mut index = before.map(|host| ledger.peer(host, process).runs).sum();
  if let Some(own) = state.pending_copies.entry(source.key).map(|own| own.or_default()) {
    index += *own;
    *own += 1;
  }
  Position { index, process }
}

/// Returns when the leave was noticed, and the time from then until the target is gone.
fn window(call: &Call, source: &Spot) -> (Instant, Window) {
  let state = call.gateway.lock();
  let target = state.roster.get(source.key);
  let since = target.and_then(|target| target.leaving_since);
  let since = since.unwrap_or_else(|| call.gateway.clock.now());
  let until = target.and_then(|target| target.leaves_at);
  let notice = until.map(|until| until.saturating_duration_since(since));
  (since, Window { notice })
}
