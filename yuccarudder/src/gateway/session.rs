use {
  super::{
    call::Call,
    movement::{self, Movement, Step},
    pauses::Pauses,
    placed::Spot,
  },
  crate::{
    attempt::{Outcome, State},
    dialect::Resume,
    http::{Body, BodyError},
    placement::Load,
    refusal::{Reason, Refusal},
    relay::Cursor,
    relocation::{Copied, Failure, Run},
    roster::Standing,
    routing::Engine,
  },
  bytes::Bytes,
  futures::{future, stream},
  http_body_util::{BodyExt, StreamBody},
  hyper::body::{Frame, Incoming},
  std::time::Duration,
  tokio::{sync::mpsc, time},
};

/// Pieces that may wait for a caller that reads slowly.
const PIECES_IN_HAND: usize = 64;
/// Events that a run makes before an engine that leaves is gone: it needs no move.
const EVENTS_IN_NOTICE: u64 = 10;
const PREFIX: &str = "session";
/// Longest wait for the head of the answer where a run goes on.
const SWITCH_PATIENCE: Duration = Duration::from_secs(3);
/// Events after which the memory that a run takes is told anew.
const TELL_EVENTS: u64 = 16;

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
  CallerGone,
  Complete,
  Deadline,
  Disordered,
  Lost,
}

impl End {
  fn name(self) -> &'static str {
    match self {
      Self::CallerGone => "caller_gone",
      Self::Complete => "complete",
      Self::Deadline => "deadline",
      Self::Disordered => "disordered",
      Self::Lost => "lost",
    }
  }
}

/// A stream on its way to its caller, over all targets where it runs.
pub struct Session {
  call: Call,
  caller: mpsc::Sender<Result<Bytes, BodyError>>,
  cursor: Cursor,
  /// The connection of the run; none when it broke off and its copy is awaited.
  events: Option<Incoming>,
  movement: Movement,
  moves: u32,
  pauses: Pauses,
  spot: Spot,
  state: State,
}

impl Session {
  /// Relays events in a task of their own and returns the body for the caller.
  pub fn start(call: Call, state: State, spot: Spot, events: Incoming) -> Body {
    let (caller, mut pieces) = mpsc::channel(PIECES_IN_HAND);
    let session = Self {
      cursor: Cursor::new(call.ask.last_event),
      call,
      caller,
      events: Some(events),
      movement: Movement::default(),
      moves: 0,
      pauses: Pauses::default(),
      spot,
      state,
    };
    tokio::spawn(session.run());
    let pieces = stream::poll_fn(move |cx| pieces.poll_recv(cx));
    StreamBody::new(futures::StreamExt::map(pieces, |piece| {
      piece.map(Frame::data)
    }))
    .boxed_unsync()
  }

  async fn run(mut self) {
    let end = self.relay().await;
    log::info!(
      target: PREFIX, id = self.call.id(), target:% = self.spot.target.id, end = end.name(),
      events = self.cursor.events(), moves = self.moves, runs = self.state.runs,
      longest_pause_ms = self.pauses.longest.as_millis() as u64,
      first_event_ms = self.pauses.first.map(|at| at.saturating_duration_since(self.call.arrived).as_millis() as u64),
      elapsed_ms = self.call.elapsed().as_millis() as u64;
      "A stream ended."
    );
    self.measure(end);
    self.movement.abandon(&self.call, &self.spot);
    let reason = match end {
      End::Complete => {
        let call = &self.call;
        call.gateway.metrics.answered.inc();
        call.gateway.record_length(&call.route().name, &call.ask, self.generated());
        return;
      }
      End::CallerGone => return,
      End::Deadline => Reason::DeadlinePassed,
      End::Disordered | End::Lost => Reason::GenerationLost,
    };
    let refusal = Refusal::failed(reason);
    self.call.gateway.metrics.refuse(&refusal);
    // The error breaks the caller's connection, so the answer does not look complete.
    let _ = self.caller.send(Err(refusal.into())).await;
  }

  fn measure(&self, end: End) {
    let instruments = &self.call.gateway.instruments;
    let kind = [self.call.route().kind.name()];
    instruments.finished_streams.with_label_values(&[end.name()]).inc();
    instruments
      .longest_pause
      .with_label_values(&kind)
      .observe(self.pauses.longest.as_secs_f64());
    instruments
      .response_duration
      .with_label_values(&kind)
      .observe(self.call.elapsed().as_secs_f64());
    if let Some(first) = self.pauses.first {
      let first = first.saturating_duration_since(self.call.arrived);
      instruments.time_to_first_event.with_label_values(&kind).observe(first.as_secs_f64());
    }
  }

  fn count_move(&self, step: &str) {
    self.call.gateway.instruments.relocation_steps.with_label_values(&[step]).inc();
  }

  async fn relay(&mut self) -> End {
    let mut changes = self.call.gateway.roster_changes.subscribe();
    let mut deadline = Box::pin(time::sleep_until(self.call.deadline.into()));
    self.consider_move();
    loop {
      let end = tokio::select! {
        biased;
        () = self.caller.closed() => Some(End::CallerGone),
        () = &mut deadline => Some(End::Deadline),
        step = self.movement.next() => self.step(step).await,
        frame = next_frame(&mut self.events) => self.take(frame).await,
        changed = changes.changed() => {
          if changed.is_ok() {
            self.consider_move();
          }
          None
        }
      };
      if let Some(end) = end {
        return end;
      }
    }
  }

  /// Takes what came on the connection of the run.
  async fn take(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Option<End> {
    match frame {
      Some(Ok(frame)) => match frame.into_data() {
        Ok(bytes) => self.pass_on(&bytes).await,
        Err(_) => None,
      },
      None if !self.cursor.is_partial() => Some(End::Complete),
      // The destination may have all of the memory already.
      _ if self.movement.is_copying() => {
        self.events = None;
        None
      }
      _ => self.recover().await,
    }
  }

  async fn pass_on(&mut self, bytes: &[u8]) -> Option<End> {
    let before = self.cursor.events();
    let events = match self.cursor.feed(bytes) {
      Ok(events) => events,
      Err(fault) => {
        log::error!(target: PREFIX, id = self.call.id(), target:% = self.spot.target.id, fault:% = fault; "A target broke the order of events.");
        return Some(End::Disordered);
      }
    };
    if events.is_empty() {
      return None;
    }
    let count = self.cursor.events();
    if before == 0 || before / TELL_EVENTS != count / TELL_EVENTS {
      self.spot.place.update(self.load());
    }
    self.pauses.event(self.call.gateway.clock.now());
    let sent = time::timeout_at(self.call.deadline.into(), self.caller.send(Ok(events))).await;
    match sent {
      Ok(Ok(())) => None,
      Ok(Err(_)) => Some(End::CallerGone),
      Err(_) => Some(End::Deadline),
    }
  }

  fn engine(&self) -> Option<&Engine> {
    self.call.service()?.engine.as_ref()
  }

  fn generated(&self) -> u64 {
    self.cursor.last().unwrap_or(0) * self.engine().map_or(1, |engine| engine.tokens_per_event)
  }

  /// Returns the tokens of memory that the run is expected to need in the end.
  fn memory(&self) -> u64 {
    self.call.expected_memory(self.generated())
  }

  /// Returns what the run takes once it has been read in.
  fn load(&self) -> Load {
    Load {
      held: self.held(),
      runs: 1,
      tokens: self.memory(),
      ..Load::default()
    }
  }

  /// Returns the tokens of memory that the run takes now.
  fn held(&self) -> u64 {
    self.call.ask.prompt_tokens + self.generated()
  }

  fn to_move(&self) -> Run {
    Run {
      held: self.held(),
      tokens: self.memory(),
    }
  }

  /// Begins to move the run if its target leaves.
  fn consider_move(&mut self) {
    let Some(engine) = self.engine().filter(|engine| engine.relocatable) else {
      return;
    };
    if !self.movement.is_idle() {
      return;
    }
    let left = self.call.ask.max_tokens.saturating_sub(self.generated());
    if left <= engine.tokens_per_event * EVENTS_IN_NOTICE {
      return;
    }
    let leaves = {
      let state = self.call.gateway.lock();
      let target = state.roster.get(self.spot.key);
      target.is_none_or(|target| matches!(target.standing, Standing::Gone(_) | Standing::Leaving))
    };
    if leaves {
      let run = self.to_move();
      self.movement.begin(&self.call, &self.spot, run);
    }
  }

  async fn step(&mut self, step: Step) -> Option<End> {
    match step {
      Step::CopyDue => {
        let run = self.to_move();
        self.movement.copy(&self.call, &self.spot, run);
        None
      }
      Step::Copied {
        destination,
        result,
      } => self.copied(*destination, result).await,
    }
  }

  async fn copied(&mut self, destination: Spot, result: Result<Copied, Failure>) -> Option<End> {
    let broken = self.events.is_none();
    log::info!(
      target: PREFIX, id = self.call.id(), source:% = self.spot.target.id, destination:% = destination.target.id,
      result:? = result, broken, events = self.cursor.events();
      "A copy of a run was answered."
    );
    self.count_move(match &result {
      Ok(_) => "copied",
      Err(Failure::NoRoom(_)) => "no_room",
      Err(_) => "failed",
    });
    match result {
      Ok(copied) => self.switch(copied, destination).await,
      Err(_) if broken => self.recover().await,
      Err(_) => {
        drop(destination);
        self.movement.retry(&self.call);
        None
      }
    }
  }

  /// Goes on at the engine that holds the copy.
  ///
  /// The run is dropped with its connection and the other engine generates anew what the
  /// copy lacks, so the caller notices nothing and the links carry each run once.
  async fn switch(&mut self, copied: Copied, destination: Spot) -> Option<End> {
    self.movement = Movement::default();
    if self.events.take().is_some() {
      movement::ensure_stopped(&self.call, &self.spot, &destination);
    }
    let source = self.spot.target.listing.address;
    let resume = Resume {
      cache_location: Some(format!("{source}/{}", copied.handle)),
      last_event: self.cursor.last(),
    };
    let patience = SWITCH_PATIENCE.min(self.call.left());
    match self.call.send(&destination, Some(&resume), patience).await {
      Ok(response) if response.status().is_success() => {
        self.moves += 1;
        self.count_move("continued");
        self.continue_with(destination, response.into_body());
        None
      }
      Ok(_) | Err(_) => {
        self.release(copied);
        self.recover().await
      }
    }
  }

  fn continue_with(&mut self, spot: Spot, events: Incoming) {
    self.cursor.restart();
    self.events = Some(events);
    self.spot = spot;
    self.spot.place.update(self.load());
    self.consider_move();
  }

  /// Starts another run after the last event, where that is allowed.
  async fn recover(&mut self) -> Option<End> {
    self.movement.abandon(&self.call, &self.spot);
    self.state.runs += 1;
    if !self.call.retries(&self.state, Outcome::Lost) {
      return Some(End::Lost);
    }
    let Ok(spot) = self.call.place(&[self.spot.key]).await else {
      return Some(End::Lost);
    };
    self.state.tries += 1;
    let resume = Resume {
      cache_location: None,
      last_event: self.cursor.last(),
    };
    match self.call.send(&spot, Some(&resume), self.call.left()).await {
      Ok(response) if response.status().is_success() => {
        self.continue_with(spot, response.into_body());
        None
      }
      Ok(_) | Err(_) => Some(End::Lost),
    }
  }

  fn release(&self, copied: Copied) {
    let source = self.spot.target.listing.address;
    tokio::spawn((self.call.gateway.dialect.release)(source, copied.handle));
  }
}

/// Returns what comes next on the connection of a run; waits for ever without one.
async fn next_frame(events: &mut Option<Incoming>) -> Option<Result<Frame<Bytes>, hyper::Error>> {
  match events {
    Some(events) => events.frame().await,
    None => future::pending().await,
  }
}
