use {
  super::{
    assignment::{Assignment, Purpose},
    breaks::{Cause, SILENCE},
    call::Call,
    migration::{self, Migration, Step},
    offer::Offer,
    sending, stream,
    timing::Timing,
  },
  crate::{
    attempt::{History, Outcome},
    dialect::Resume,
    http::{Body, BodyError, Framing},
    limit::Reservation,
    links, pace,
    placement::Load,
    quarantine::SOUND_AFTER,
    refusal::{Reason, Refusal},
    relay::Cursor,
    relocation::{Copied, Failure, Run},
    roster::{Key, Status},
    routing::{Engine, Kind},
  },
  bytes::Bytes,
  futures::future,
  http_body_util::{BodyExt, StreamBody},
  hyper::{
    Response,
    body::{self, Incoming},
  },
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time,
  },
};

/// Number of response body chunks that are buffered for a caller that reads slowly.
const BODY_CHUNK_CAPACITY: usize = 64;
/// Number of bytes that are buffered for such a caller, beside the last chunk.
const BODY_BYTES_CAPACITY: usize = 64 << 10;
/// Largest part of an event that is kept without a reservation of memory, more than events usually have.
const MAX_UNRESERVED_BYTES: usize = 16 << 10;
/// A run with at most this many events left finishes before its leaving engine is gone, so
/// it is not migrated.
const MAX_UNMIGRATED_EVENTS: u64 = 10;
const PREFIX: &str = "session";
/// Timeout for the response head of the engine that resumes a run from a copy.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without an event after which a stream counts as stopped once the links to the targets are lost.
const CUT_SILENCE: Duration = Duration::from_millis(400);
/// Number of events after which the reported KV cache use of a run is updated.
const LOAD_UPDATE_EVENTS: u64 = 16;

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
  CallerDisconnected,
  Complete,
  DeadlinePassed,
  HostStopped,
  InvalidEvents,
  TargetLost,
}

/// How the response of a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
  /// Its connection broke before its end.
  Broken,
  /// It ended as its framing says.
  Marked(Framing),
}

impl Ending {
  fn name(self) -> &'static str {
    match self {
      Self::Broken => "broken",
      Self::Marked(framing) => framing.name(),
    }
  }
}

impl End {
  fn name(self) -> &'static str {
    match self {
      Self::CallerDisconnected => "caller_gone",
      Self::Complete => "complete",
      Self::DeadlinePassed => "deadline",
      Self::HostStopped => "host_stopped",
      Self::InvalidEvents => "disordered",
      Self::TargetLost => "lost",
    }
  }
}

/// Events for a caller that has not read them.
struct Chunk {
  bytes: Bytes,
  /// Their part of `BODY_BYTES_CAPACITY`.
  _permit: OwnedSemaphorePermit,
}

/// A stream that is relayed to its caller, across all runs on different targets. A run is one
/// execution of the request.
pub struct Session {
  /// When the head of the current run's response arrived.
  answered_at: Instant,
  call: Call,
  /// Counts the bytes that may still be buffered for the caller.
  chunk_bytes: Arc<Semaphore>,
  chunk_sender: mpsc::Sender<Result<Chunk, BodyError>>,
  cursor: Cursor,
  /// The memory for an incomplete event; `None` for a short one.
  event_memory: Option<Reservation>,
  /// Targets that lost the stream. An order to stop its run there may still be under way.
  lost_at: Vec<Key>,
  /// Fingerprints of the targets that may still run the stream, as they did not confirm that they stopped.
  unstopped_at: Vec<u64>,
  /// Whether another host relays the current run, as this one has lost its links to the targets.
  is_at_other_host: bool,
  /// How the response of the last run ended; `None` while it goes on.
  ending: Option<Ending>,
  /// What marks the end of the current response.
  framing: Framing,
  /// Whether the current target has been answering long enough to count as sound.
  is_sound: bool,
  /// The response body of the current target; `None` while the connection is lost and a
  /// copy of the run is pending.
  target_body: Option<Incoming>,
  /// Measures the pace of the target.
  meter: pace::Meter,
  migration: Migration,
  migrations: u32,
  timing: Timing,
  assignment: Assignment,
  history: History,
}

impl Session {
  /// Spawns a task that relays the events, and returns the response body for the caller. `unstopped` are the
  /// targets that may still run the request, with their fingerprints.
  pub fn start(
    call: Call,
    history: History,
    assignment: Assignment,
    unstopped: Vec<(Key, u64)>,
    target_body: Incoming,
    framing: Framing,
  ) -> Body {
    let (chunk_sender, mut chunk_receiver) = mpsc::channel(BODY_CHUNK_CAPACITY);
    let session = Self {
      answered_at: call.gateway.clock.now(),
      cursor: Cursor::new(call.metadata.last_event_id),
      call,
      chunk_bytes: Arc::new(Semaphore::new(BODY_BYTES_CAPACITY)),
      chunk_sender,
      event_memory: None,
      lost_at: unstopped.iter().map(|(key, _)| *key).collect(),
      unstopped_at: unstopped.into_iter().map(|(_, fingerprint)| fingerprint).collect(),
      ending: None,
      framing,
      is_at_other_host: false,
      is_sound: false,
      target_body: Some(target_body),
      meter: pace::Meter::default(),
      migration: Migration::default(),
      migrations: 0,
      timing: Timing::default(),
      assignment,
      history,
    };
    tokio::spawn(session.run());
    let chunks = futures::stream::poll_fn(move |cx| chunk_receiver.poll_recv(cx));
    StreamBody::new(futures::StreamExt::map(chunks, |chunk| {
      chunk.map(|chunk| body::Frame::data(chunk.bytes))
    }))
    .boxed_unsync()
  }

  async fn run(mut self) {
    let closing = self.call.gateway.closing.clone();
    let caller = self.chunk_sender.clone();
    let deadline = time::sleep_until(self.call.deadline.into());
    // Whatever the stream waits for, a place, a response or its caller, is given up with it.
    let end = tokio::select! {
      biased;
      () = caller.closed() => End::CallerDisconnected,
      () = deadline => End::DeadlinePassed,
      end = self.relay() => end,
      () = closing.cancelled() => End::HostStopped,
    };
    log::info!(
      target: PREFIX, id = self.call.id(), account = self.call.account_name().unwrap_or("-"), target:% = self.assignment.target.id, end = end.name(),
      framing = self.framing.name(), ending = self.ending.map(Ending::name), events = self.cursor.event_count(), moves = self.migrations, runs = self.history.possible_runs,
      longest_pause_ms = self.timing.longest_pause.as_millis() as u64,
      first_event_ms = self.timing.first_event.map(|at| at.saturating_duration_since(self.call.arrived).as_millis() as u64),
      elapsed_ms = self.call.elapsed().as_millis() as u64;
      "A stream ended."
    );
    self.record_metrics(end);
    self.call.finish_pace(&mut self.meter);
    if matches!(end, End::CallerDisconnected | End::DeadlinePassed) && self.is_silent() {
      let now = self.call.gateway.clock.now();
      self.call.report_break(&self.assignment, Some(self.answered_at), now, Cause::Silent).await;
    }
    self.migration.cancel(&self.call, &self.assignment);
    let reason = match end {
      End::Complete => {
        let call = &self.call;
        call.gateway.metrics.completed_requests.inc();
        call.gateway.record_length(&call.route().name, &call.metadata, self.generated_tokens());
        return;
      }
      End::CallerDisconnected => return,
      End::DeadlinePassed => Reason::DeadlinePassed,
      End::HostStopped => Reason::HostLeaving,
      End::InvalidEvents | End::TargetLost => Reason::GenerationLost,
    };
    let refusal = Refusal::failed(reason);
    self.call.gateway.metrics.count_refusal(&refusal);
    // The error aborts the caller's connection, so that the truncated response does not look
    // complete.
    let _ = self.chunk_sender.send(Err(refusal.into())).await;
  }

  /// Returns whether the target of the current run has sent nothing for some time although it had just begun.
  fn is_silent(&self) -> bool {
    let goes_on = self.target_body.is_some() && self.ending.is_none();
    goes_on && !self.is_sound && !self.is_at_other_host && self.silence() >= SILENCE
  }

  /// Returns the time since the last event or, before it, the head of the response.
  fn silence(&self) -> Duration {
    let last_sign =
      self.timing.last_event().map_or(self.answered_at, |at| at.max(self.answered_at));
    self.call.gateway.clock.now().saturating_duration_since(last_sign)
  }

  /// Resumes the stream through another host if this host has lost its links to the targets and the
  /// stream has stopped.
  async fn recover_if_cut(&mut self) -> Option<End> {
    let call = &self.call;
    if self.is_at_other_host
      || !call.is_repeatable()
      || !self.cursor.is_resumable()
      || self.silence() < CUT_SILENCE
      || !call.gateway.has_lost_links(&call.service_name)
    {
      return None;
    }
    self.target_body = None;
    self.recover().await
  }

  fn record_metrics(&self, end: End) {
    let instruments = &self.call.gateway.instruments;
    let route_kind = [self.call.route().kind.name()];
    instruments.finished_streams.with_label_values(&[end.name()]).inc();
    instruments
      .longest_pause
      .with_label_values(&route_kind)
      .observe(self.timing.longest_pause.as_secs_f64());
    instruments
      .response_duration
      .with_label_values(&route_kind)
      .observe(self.call.elapsed().as_secs_f64());
    if let Some(first_event) = self.timing.first_event {
      let first_event = first_event.saturating_duration_since(self.call.arrived);
      instruments
        .time_to_first_event
        .with_label_values(&route_kind)
        .observe(first_event.as_secs_f64());
    }
  }

  fn count_migration_step(&self, step: &str) {
    self.call.gateway.instruments.migration_steps.with_label_values(&[step]).inc();
  }

  async fn relay(&mut self) -> End {
    let mut departures = self.call.gateway.departures.subscribe();
    let mut link_losses = self.call.gateway.link_losses.subscribe();
    self.migrate_if_leaving();
    loop {
      let end = tokio::select! {
        biased;
        step = self.migration.next() => self.handle_step(step).await,
        frame = next_frame(&mut self.target_body) => self.handle_frame(frame).await,
        changed = departures.changed() => {
          if changed.is_ok() {
            self.migrate_if_leaving();
          }
          None
        }
        Ok(()) = link_losses.changed() => self.recover_if_cut().await,
        () = evicted(&self.event_memory) => Some(End::InvalidEvents),
      };
      if let Some(end) = end {
        return end;
      }
    }
  }

  /// Handles the next frame, the end or the failure of the target's response body.
  async fn handle_frame(
    &mut self,
    frame: Option<Result<body::Frame<Bytes>, hyper::Error>>,
  ) -> Option<End> {
    let ended_at = self.call.gateway.clock.now();
    self.ending = match &frame {
      Some(Ok(_)) => None,
      Some(Err(_)) => Some(Ending::Broken),
      None => Some(Ending::Marked(self.framing)),
    };
    match frame {
      Some(Ok(frame)) => match frame.into_data() {
        Ok(bytes) => self.forward(&bytes).await,
        Err(_) => None,
      },
      None if self.is_whole().await => {
        // Another host reports what it sees of the target.
        if !self.is_at_other_host {
          self.call.report_sound(self.answered_at);
        }
        Some(End::Complete)
      }
      // The copy in progress may still complete: the destination may already hold all of the
      // run's KV cache.
      _ if self.migration.is_copying() => {
        self.target_body = None;
        None
      }
      _ if self.is_at_other_host => self.recover().await,
      _ => {
        let answered_at = Some(self.answered_at);
        let failure = links::Failure::Disconnected;
        self.call.record_unreached(&self.assignment, failure, ended_at);
        let cause = Cause::ConnectionLost;
        self.call.report_break(&self.assignment, answered_at, ended_at, cause).await;
        self.recover().await
      }
    }
  }

  /// Returns whether the response is whole, now that it has ended.
  async fn is_whole(&mut self) -> bool {
    if self.cursor.has_partial_event() {
      return false;
    }
    if self.framing != Framing::Close {
      return true;
    }
    let has_events = self.cursor.event_count() > 0 || self.cursor.last_event_id().is_some();
    let events = self.cursor.total_event_count();
    let (answered_at, time_left) = (self.answered_at, self.call.time_left());
    has_events
      && self.call.is_proven_whole(&self.assignment, answered_at, Some(events), time_left).await
  }

  /// Sends the complete events in a chunk of the response body to the caller.
  async fn forward(&mut self, bytes: &[u8]) -> Option<End> {
    let previous_count = self.cursor.event_count();
    let events = match self.cursor.feed(bytes) {
      Ok(events) => events,
      Err(error) => {
        log::error!(target: PREFIX, id = self.call.id(), target:% = self.assignment.target.id, fault:% = error; "A target sent an invalid event stream.");
        return Some(End::InvalidEvents);
      }
    };
    if let Err(refusal) = self.reserve_partial_event() {
      log::warn!(target: PREFIX, id = self.call.id(), target:% = self.assignment.target.id, bytes = self.cursor.partial_bytes(), reason = refusal.reason.name(); "There is no memory for the rest of an event.");
      return Some(End::InvalidEvents);
    }
    if events.is_empty() {
      return None;
    }
    let count = self.cursor.event_count();
    if previous_count == 0 || previous_count / LOAD_UPDATE_EVENTS != count / LOAD_UPDATE_EVENTS {
      self.assignment.reservation.update(self.load());
    }
    if previous_count == 0 {
      self.record_origin();
      // Another host that relays the run records it at the target that it chose.
      if !self.is_at_other_host {
        self.call.record_held_prompt(self.assignment.target.fingerprint);
      }
    }
    let now = self.call.gateway.clock.now();
    self.timing.record_event(now);
    if !self.is_at_other_host {
      let is_caller_slow =
        self.chunk_sender.capacity() == 0 || self.chunk_bytes.available_permits() == 0;
      let target = self.assignment.target.fingerprint;
      self.call.measure_pace(
        &mut self.meter,
        target,
        count - previous_count,
        is_caller_slow,
      );
    }
    if !self.is_at_other_host
      && !self.is_sound
      && now.saturating_duration_since(self.answered_at) >= SOUND_AFTER
    {
      self.is_sound = true;
      self.call.report_sound(self.answered_at);
    }
    let permits = u32::try_from(events.len().min(BODY_BYTES_CAPACITY)).unwrap_or(u32::MAX);
    let permit = Arc::clone(&self.chunk_bytes).acquire_many_owned(permits).await;
    let chunk = Chunk {
      bytes: events,
      _permit: permit.ok()?,
    };
    let result = self.chunk_sender.send(Ok(chunk)).await;
    result.err().map(|_| End::CallerDisconnected)
  }

  /// Reserves memory for an incomplete event if it is long.
  ///
  /// # Errors
  ///
  /// Refuses when there is none left, or when others needed that of this event.
  fn reserve_partial_event(&mut self) -> Result<(), Refusal> {
    let bytes = self.cursor.partial_bytes();
    if bytes <= MAX_UNRESERVED_BYTES {
      self.event_memory = None;
      return Ok(());
    }
    let reservation = match self.event_memory.take() {
      Some(reservation) => reservation,
      None => self.call.gateway.response_memory.reserve_evictable(0)?,
    };
    // The buffer grows by doubling.
    reservation.grow(bytes.next_power_of_two() as u64)?;
    reservation.record_progress();
    self.event_memory = Some(reservation);
    Ok(())
  }

  /// Records which software version began the stream, before its first event is sent.
  fn record_origin(&mut self) {
    let version = &self.assignment.target.listing.version;
    let version = self.call.version.get_or_insert_with(|| version.as_str().into());
    let version = Arc::clone(version);
    if let Kind::Stream { resumable: true } = self.call.route().kind
      && let Some(stream) = self.call.stream_key()
    {
      self.call.gateway.record_origin(stream, &self.call.service_name, &version);
    }
  }

  fn engine(&self) -> Option<&Engine> {
    self.call.service()?.engine.as_ref()
  }

  fn generated_tokens(&self) -> u64 {
    let tokens_per_event = self.engine().map_or(1, |engine| engine.tokens_per_event);
    let generated = self.cursor.event_count().saturating_mul(tokens_per_event);
    let earlier = self.cursor.earlier_event_count().saturating_mul(tokens_per_event);
    generated.saturating_add(earlier.min(self.call.metadata.max_tokens.saturating_sub(generated)))
  }

  /// Returns the KV cache tokens that the run is expected to need at the memory peak of its engine.
  fn expected_memory_tokens(&self) -> u64 {
    self.call.expected_memory_tokens(self.generated_tokens())
  }

  /// Returns the load of the run on its target once its prompt has been processed.
  fn load(&self) -> Load {
    Load {
      used_tokens: self.cached_tokens(),
      requests: 1,
      expected_tokens: self.expected_memory_tokens(),
      ..Load::default()
    }
  }

  /// Returns the KV cache tokens that the run occupies now.
  fn cached_tokens(&self) -> u64 {
    self.call.metadata.prompt_tokens.saturating_add(self.generated_tokens())
  }

  /// Returns the memory that the run needs, from which its copy is planned.
  fn run_size(&self) -> Run {
    Run {
      cached_tokens: self.cached_tokens(),
      peak_tokens: self.expected_memory_tokens(),
    }
  }

  /// Starts to migrate the run if its target is leaving or gone.
  fn migrate_if_leaving(&mut self) {
    let Some(engine) = self.engine().filter(|engine| engine.relocatable) else {
      return;
    };
    if !self.migration.is_idle() || self.is_at_other_host {
      return;
    }
    let remaining_tokens = self.call.metadata.max_tokens.saturating_sub(self.generated_tokens());
    if remaining_tokens <= engine.tokens_per_event.saturating_mul(MAX_UNMIGRATED_EVENTS) {
      return;
    }
    let is_leaving = {
      let state = self.call.gateway.lock();
      let target = state.roster.get(self.assignment.key);
      target.is_none_or(|target| matches!(target.status, Status::Removed(_) | Status::Leaving))
    };
    if is_leaving {
      let run = self.run_size();
      self.migration.begin(&self.call, &self.assignment, run);
    }
  }

  async fn handle_step(&mut self, step: Step) -> Option<End> {
    match step {
      Step::CopyDue => {
        let run = self.run_size();
        self.migration.try_copy(&self.call, &self.assignment, run);
        None
      }
      Step::Copied {
        destination,
        result,
      } => self.handle_copy_result(*destination, result).await,
    }
  }

  async fn handle_copy_result(
    &mut self,
    destination: Assignment,
    result: Result<Copied, Failure>,
  ) -> Option<End> {
    let broken = self.target_body.is_none();
    log::info!(
      target: PREFIX, id = self.call.id(), source:% = self.assignment.target.id, destination:% = destination.target.id,
      result:? = result, broken, events = self.cursor.event_count();
      "An engine answered a request to copy a run."
    );
    self.count_migration_step(match &result {
      Ok(_) => "copied",
      Err(Failure::NoRoom(_)) => "no_room",
      Err(_) => "failed",
    });
    if let Ok(copied) = result {
      let source = self.assignment.target.listing.address;
      let offer = Offer::new(&self.call.gateway, source, copied.handle);
      if self.cursor.is_resumable() && self.call.gateway.accepts_runs(destination.key) {
        return self.resume_from_copy(offer, destination).await;
      }
    }
    drop(destination);
    if broken {
      return self.recover().await;
    }
    self.migration.retry(&self.call);
    None
  }

  /// Resumes the run at the destination, which holds the copy.
  ///
  /// Closing the connection to the source cancels the run there. The destination regenerates
  /// the tokens that the copy lacks, so the caller sees no gap and the KV cache is transferred
  /// over the network only once.
  async fn resume_from_copy(&mut self, offer: Offer, destination: Assignment) -> Option<End> {
    self.migration = Migration::default();
    self.target_body = None;
    // Also if the connection broke before: the answer may have been lost, and the run may go on.
    migration::ensure_stopped(&self.call, &self.assignment, &destination);
    let resume = Resume {
      cache_location: offer.location(),
      last_event_id: self.cursor.last_event_id(),
    };
    let timeout = RESUME_TIMEOUT.min(self.call.time_left());
    // Only the process that took the copy goes on from it, so it may be asked for meanwhile.
    let (result, is_listed) = tokio::join!(
      self.call.send(&destination, Some(&resume), timeout),
      self.call.is_at_listed_process(&destination)
    );
    match result {
      Ok(response) if stream::has_events(&response) && is_listed => {
        offer.accept();
        self.migrations += 1;
        self.count_migration_step("continued");
        self.relay_from(destination, response);
        None
      }
      result => {
        drop(offer);
        if result.err().is_none_or(|failure| !failure.outcome.is_not_run()) {
          // The run is lost where it went on; the source has been told to stop it.
          self.lost_at.push(self.assignment.key);
          self.assignment = destination;
        }
        self.recover().await
      }
    }
  }

  /// Continues the stream with the response of another run.
  fn relay_from(&mut self, assignment: Assignment, response: Response<Incoming>) {
    self.replace_body(response);
    self.is_at_other_host = false;
    self.assignment = assignment;
    self.assignment.reservation.update(self.load());
    self.migrate_if_leaving();
  }

  fn replace_body(&mut self, response: Response<Incoming>) {
    self.framing = Framing::of_response(&response);
    self.is_sound = false;
    self.ending = None;
    self.answered_at = self.call.gateway.clock.now();
    self.cursor.discard_partial_event();
    self.target_body = Some(response.into_body());
  }

  /// Continues the stream through another host if this one has lost its links to the targets; returns
  /// whether it does.
  async fn resume_at_other_host(&mut self) -> bool {
    let Some(host) = self.call.helper(&self.history, &[]) else {
      return false;
    };
    let is_stopped = migration::stop_before_handover(&self.call, &self.assignment.target).await;
    self.record_stop(self.assignment.target.fingerprint, is_stopped);
    self.history.attempts += 1;
    let last_event_id = self.cursor.last_event_id();
    let response =
      self.call.hand_over(host, &self.history, last_event_id, &self.unstopped_at).await;
    let Some(response) = response.ok().filter(stream::has_events) else {
      return false;
    };
    self.replace_body(response);
    self.is_at_other_host = true;
    self.assignment.reservation.update(Load::default());
    true
  }

  /// Starts a new run on another target after the last relayed event, as long as retries are allowed.
  async fn recover(&mut self) -> Option<End> {
    self.migration.cancel(&self.call, &self.assignment);
    let mut lost = self.assignment.key;
    loop {
      self.history.possible_runs += 1;
      self.lost_at.push(lost);
      if !self.cursor.is_resumable() || !self.call.grant_retry(&self.history, Outcome::Lost) {
        return Some(End::TargetLost);
      }
      if self.resume_at_other_host().await {
        return None;
      }
      let Ok(assignment) = self.call.assign(&self.lost_at, Purpose::Continue).await else {
        return Some(End::TargetLost);
      };
      self.history.attempts += 1;
      log::info!(
        target: PREFIX, id = self.call.id(), source:% = self.assignment.target.id, source_software = self.assignment.target.listing.version.as_str(),
        destination:% = assignment.target.id, software = assignment.target.listing.version.as_str(), events = self.cursor.event_count();
        "Resuming a stream at another target."
      );
      let destination = assignment.target.listing.address;
      let source = &self.assignment.target;
      let stopped = migration::stop_lost_run(&self.call, source, destination).await;
      self.record_stop(self.assignment.target.fingerprint, stopped.is_certain);
      match self.resume_at(&assignment, stopped.offer).await {
        Ok(response) if stream::has_events(&response) => {
          if self.call.is_at_listed_process(&assignment).await {
            self.relay_from(assignment, response);
            return None;
          }
          drop(response);
          let is_stopped = migration::stop_before_handover(&self.call, &assignment.target).await;
          self.record_stop(assignment.target.fingerprint, is_stopped);
          lost = assignment.key;
        }
        Ok(_) | Err(_) => return Some(End::TargetLost),
      }
    }
  }

  /// Records whether the run at a target, given by its fingerprint, has stopped.
  fn record_stop(&mut self, fingerprint: u64, is_certain: bool) {
    self.unstopped_at.retain(|other| *other != fingerprint);
    if !is_certain {
      self.unstopped_at.push(fingerprint);
    }
  }

  /// Sends the request to another engine, which goes on from a copy of the run if it holds one.
  async fn resume_at(
    &mut self,
    assignment: &Assignment,
    offer: Option<Offer>,
  ) -> Result<Response<Incoming>, sending::Failure> {
    let mut resume = Resume {
      cache_location: offer.as_ref().and_then(Offer::location),
      last_event_id: self.cursor.last_event_id(),
    };
    let result = self.call.send(assignment, Some(&resume), self.call.time_left()).await;
    let Some(offer) = offer else {
      return result;
    };
    let Err(failure) = &result else {
      offer.accept();
      return result;
    };
    drop(offer);
    if !failure.outcome.is_not_run() || !self.call.grant_retry(&self.history, failure.outcome) {
      return result;
    }
    self.history.attempts += 1;
    resume.cache_location = None;
    self.call.send(assignment, Some(&resume), self.call.time_left()).await
  }
}

/// Waits until others need the memory of a reservation; never resolves without one.
async fn evicted(reservation: &Option<Reservation>) {
  match reservation {
    Some(reservation) => reservation.evicted().await,
    None => future::pending().await,
  }
}

/// Returns the next frame of a response body; never resolves without a body.
async fn next_frame(
  body: &mut Option<Incoming>,
) -> Option<Result<body::Frame<Bytes>, hyper::Error>> {
  match body {
    Some(body) => body.frame().await,
    None => future::pending().await,
  }
}
