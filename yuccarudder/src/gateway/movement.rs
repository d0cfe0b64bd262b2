use {
  super::{call::Call, placed::Spot},
  crate::{
    relocation::{self, Copied, Failure, Order},
    routing::Engine,
  },
  futures::future::{self, BoxFuture},
  std::time::Duration,
  tokio::{sync::OwnedSemaphorePermit, time},
};

/// Pause before another try after an engine did not copy.
const RETRY: Duration = Duration::from_millis(40);
/// Memory that is copied while the run stands still; copying it takes less than a pause
/// that callers notice.
const STANDSTILL_COPY: Duration = Duration::from_millis(40);

/// What a move waits for.
enum Wait {
  Copy {
    answer: BoxFuture<'static, Result<Copied, Failure>>,
    destination: Spot,
    stop: bool,
  },
  LastEvents(BoxFuture<'static, ()>),
  Turn(BoxFuture<'static, Option<OwnedSemaphorePermit>>),
}

/// What a move has come to.
pub enum Step {
  /// An engine answered the order to copy.
  Copied {
    destination: Spot,
    result: Result<Copied, Failure>,
    stop: bool,
  },
  /// The last events of a run that stopped are overdue.
  LastEvents,
  /// It is this run's turn to be copied.
  Turn,
}

/// The move of a run to another engine.
#[derive(Default)]
pub struct Movement {
  engine: Option<Engine>,
  /// The turn at the link of the source, held until the run has gone.
  turn: Option<OwnedSemaphorePermit>,
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
    self.turn = None;
  }

  /// Waits for the last events of a run that stopped.
  pub fn await_last_events(&mut self, longest: Duration) {
    self.wait = Some(Wait::LastEvents(Box::pin(time::sleep(longest))));
  }

  /// Orders the copy to another engine, if one has room.
  pub fn copy(&mut self, call: &Call, source: &Spot, held: u64, tokens: u64) {
    let Some(destination) = call.destination(&source.target, held, tokens) else {
      self.retry();
      return;
    };
    let copy_time = self.engine.as_ref().map(|engine| engine.copy_time(held));
    let stop = copy_time.is_some_and(|time| time <= STANDSTILL_COPY);
    self.order(call, source, destination, stop);
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
      Some(Wait::Turn(turn)) => {
        let turn = turn.await;
        self.turn = turn.or(self.turn.take());
        self.wait = None;
        Step::Turn
      }
      Some(Wait::LastEvents(overdue)) => {
        overdue.await;
        self.wait = None;
        Step::LastEvents
      }
      Some(Wait::Copy { answer, .. }) => {
        let result = answer.await;
        let Some(Wait::Copy {
          destination, stop, ..
        }) = self.wait.take()
        else {
          unreachable!("the wait was for a copy");
        };
        Step::Copied {
          destination,
          result,
          stop,
        }
      }
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

  /// Tries again after a short pause.
  pub fn retry(&mut self) {
    self.wait = Some(Wait::Turn(Box::pin(async {
      time::sleep(RETRY).await;
      None
    })));
  }

  /// Stops the run and copies what is new since the copy before.
  pub fn stop(&mut self, call: &Call, source: &Spot, destination: Spot) {
    self.order(call, source, destination, true);
  }

  /// Waits for this run's turn at the link of its engine.
  pub fn wait(&mut self, call: &Call, source: &Spot, engine: &Engine) {
    let gateway = &call.gateway;
    let target = source.target.fingerprint;
    let this = gateway.settings().peers;
    let state = gateway.lock();
    let hosts: Vec<_> = state.members.live(gateway.clock.boot()).map(|(host, _)| host).collect();
    drop(state);
    let ledger = gateway.places.lock();
    let loads = hosts.into_iter().map(|host| (host, ledger.peer(host, target)));
    let turn = relocation::turn(engine, this, loads);
    drop(ledger);
    let at = gateway.clock.now() + turn.after;
    let turns = gateway.copy_turns(target);
    self.engine = Some(engine.clone());
    self.wait = Some(Wait::Turn(Box::pin(async move {
      let permit = turns.acquire_owned().await.ok();
      time::sleep_until(at.into()).await;
      permit
    })));
  }
}
