use {
  super::{call::Call, placed::Spot},
  crate::{
    relocation::{Copied, Failure, Order, Plan, Queue},
    roster::Target,
    routing::Engine,
  },
  futures::future::{self, BoxFuture},
  std::time::{Duration, Instant},
  tokio::time,
};

/// Pause before another try after an engine did not copy.
const RETRY: Duration = Duration::from_millis(40);
/// Engines whose leaves were noticed within this time leave together.
const TOGETHER: Duration = Duration::from_millis(1500);

/// What is done at the end of a pause.
enum Due {
  Copy,
  Stop(Spot),
}

/// What a move waits for.
enum Wait {
  Copy {
    answer: BoxFuture<'static, Result<Copied, Failure>>,
    destination: Spot,
    stop: bool,
  },
  LastEvents(BoxFuture<'static, ()>),
  Pause {
    due: Due,
    end: BoxFuture<'static, ()>,
  },
}

/// What a move has come to.
pub enum Step {
  /// An engine answered the order to copy.
  Copied {
    destination: Spot,
    result: Result<Copied, Failure>,
    stop: bool,
  },
  /// It is time to copy the run.
  CopyDue,
  /// The last events of a run that stopped are overdue.
  LastEvents,
  /// It is time to stop the run, which the engine has a copy of.
  StopDue(Spot),
}

/// The move of a run to another engine.
#[derive(Default)]
pub struct Movement {
  plan: Option<(Engine, Plan)>,
  wait: Option<Wait>,
}

impl Movement {
  /// Gives the move up and frees what a copy on its way will take.
  pub fn abandon(&mut self, call: &Call, source: &Spot) {
    if let Some(Wait::Copy {
      answer,
      destination,
      ..
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

  /// Waits for the last events of a run that stopped.
  pub fn await_last_events(&mut self, longest: Duration) {
    self.wait = Some(Wait::LastEvents(Box::pin(time::sleep(longest))));
  }

  /// Begins to move a run from an engine that leaves.
  pub fn begin(&mut self, call: &Call, source: &Spot, engine: &Engine, held: u64) {
    let plan = plan(call, source, held);
    let (since, notice) = notice(call, source);
    self.plan = Some((engine.clone(), plan));
    self.pause(since + plan.copy_at(engine, notice), Due::Copy);
  }

  /// Orders the copy to another engine, if one has room.
  pub fn copy(&mut self, call: &Call, source: &Spot, held: u64, tokens: u64) {
    // What was learned of the notice since may leave no time, or more.
    let (since, notice) = notice(call, source);
    let due = self.plan.as_ref().map(|(engine, plan)| since + plan.copy_at(engine, notice));
    if let Some(due) = due.filter(|due| *due > call.gateway.clock.now()) {
      self.pause(due, Due::Copy);
      return;
    }
    match call.destination(&source.target, held, tokens) {
      Some(destination) => self.order(call, source, destination, false),
      None => self.retry(call),
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

  /// Returns whether the run stops for the copy that is on its way.
  pub fn is_stopping(&self) -> bool {
    matches!(self.wait, Some(Wait::Copy { stop: true, .. }))
  }

  /// Waits for the next step; for ever when nothing is being moved.
  pub async fn next(&mut self) -> Step {
    match &mut self.wait {
      None => future::pending().await,
      Some(Wait::Pause { end, .. }) => end.await,
      Some(Wait::LastEvents(overdue)) => overdue.await,
      Some(Wait::Copy { answer, .. }) => {
        let result = answer.await;
        let Some(Wait::Copy {
          destination, stop, ..
        }) = self.wait.take()
        else {
          unreachable!("the wait was for a copy");
        };
        return Step::Copied {
          destination,
          result,
          stop,
        };
      }
    }
    match self.wait.take() {
      Some(Wait::Pause {
        due: Due::Stop(destination),
        ..
      }) => Step::StopDue(destination),
      Some(Wait::Pause { due: Due::Copy, .. }) => Step::CopyDue,
      _ => Step::LastEvents,
    }
  }

  fn order(&mut self, call: &Call, source: &Spot, destination: Spot, stop: bool) {
    let answer = (call.gateway.dialect.relocate)(Order {
      destination: destination.target.listing.address,
      request_id: call.id().to_owned(),
      source: source.target.listing.address,
      stop,
    });
    self.wait = Some(Wait::Copy {
      answer,
      destination,
      stop,
    });
  }

  fn pause(&mut self, until: Instant, due: Due) {
    let end = Box::pin(time::sleep_until(until.into()));
    self.wait = Some(Wait::Pause { due, end });
  }

  /// Tries again after a short pause.
  pub fn retry(&mut self, call: &Call) {
    self.pause(call.gateway.clock.now() + RETRY, Due::Copy);
  }

  /// Stops the run when it is due, and copies what is new since the copy before.
  pub fn stop(&mut self, call: &Call, source: &Spot, destination: Spot) {
    let now = call.gateway.clock.now();
    let (since, notice) = notice(call, source);
    let plan = self.plan.as_ref();
    let due = plan.map_or(now, |(engine, plan)| since + plan.stop_at(engine, notice));
    if due <= now {
      self.order(call, source, destination, true);
    } else {
      self.pause(due, Due::Stop(destination));
    }
  }

  /// Takes the destination that has a copy of the run, which still goes on.
  pub fn take_destination(&mut self) -> Option<Spot> {
    match self.wait.take() {
      Some(Wait::Pause {
        due: Due::Stop(destination),
        ..
      }) => Some(destination),
      wait => {
        self.wait = wait;
        None
      }
    }
  }
}

/// Plans the copy of a run with what this host knows of all runs at engines that leave.
fn plan(call: &Call, source: &Spot, held: u64) -> Plan {
  let gateway = &call.gateway;
  let mut state = gateway.lock();
  let this = state.settings.peers;
  let hosts: Vec<_> = state.members.live(gateway.clock.boot()).map(|(host, _)| host).collect();
  let since = state.roster.get(source.key).and_then(|target| target.leaving_since);
  let ledger = gateway.places.lock();
  let mut before = Queue::default();
  for host in hosts.into_iter().filter(|host| *host < this) {
    let load = ledger.peer(host, source.target.fingerprint);
    before = before.with(load.runs, load.held);
  }
  let own = state.copies.entry(source.key).map(|own| own.or_default());
  if let Some(own) = own {
    before = before.with(own.runs, own.tokens);
    *own = own.with(1, held);
  }
  let together = |target: &Target| {
    target.listing.service == call.service
      && target.leaving_since.zip(since).is_some_and(|(one, other)| {
        one.max(other).saturating_duration_since(one.min(other)) < TOGETHER
      })
  };
  let leaving = state.roster.all().filter(|(_, target)| together(target));
  let queues = leaving.map(|(_, target)| {
    let load = ledger.load(target.fingerprint);
    Queue::default().with(load.runs, load.held)
  });
  let longest = queues.max_by_key(|queue| queue.tokens).unwrap_or_default();
  Plan {
    before,
    longest,
    tokens: held,
  }
}

/// Returns when the leave was noticed, and the time from then until the target is gone.
fn notice(call: &Call, source: &Spot) -> (Instant, Option<Duration>) {
  let state = call.gateway.lock();
  let target = state.roster.get(source.key);
  let since = target.and_then(|target| target.leaving_since);
  let since = since.unwrap_or_else(|| call.gateway.clock.now());
  let until = target.and_then(|target| target.leaves_at);
  (
    since,
    until.map(|until| until.saturating_duration_since(since)),
  )
}
