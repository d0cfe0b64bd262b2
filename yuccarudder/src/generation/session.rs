use {
  super::{
    Action, EventStream, Id, Input, Job, Limits, OpenOutcome, ReattachClaims, Sequencer, Watchdog,
    engine::{self, Engine},
  },
  crate::{
    cold,
    host::Host,
    metrics::RetryReason,
    refusal::{Execution, Reason, Refusal},
    target::{Choice, Chosen, Key},
    tree::Settings,
    upstream::{Admission, Error, SendCheck},
  },
  futures::FutureExt,
  rand::RngExt,
  std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tokio::time,
};

/// Retry time suggested to a refused caller.
const RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RESUME_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of targets that are attempted for one run of a job.
const MAX_TARGETS: usize = 8;
const MIN_RESUME_DELAY: Duration = Duration::from_millis(50);

/// The output of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
  /// The generation is complete.
  End {
    /// Reason that the engine gave for the end.
    finish_reason: String,
  },
  /// The job runs again; all tokens returned so far are to be discarded.
  Restart,
  /// The next token.
  Token {
    /// Index of the token.
    index: u64,
    /// Text of the token.
    text: String,
  },
}

/// A job that runs on one engine at a time and whose tokens are returned in order.
///
/// Dropping an unfinished session cancels the generation on its engine, unless the caller may
/// reattach.
pub struct Session {
  sequencer: Sequencer,
  /// The target that runs, or may run, the current generation.
  chosen: Option<Chosen>,
  /// Whether a target was skipped because it is in its cold start.
  skipped_cold_target: bool,
  finished: bool,
  host: Host,
  job: Job,
  /// Effective settings in the data centre of the last chosen target; those of the job before.
  settings: Settings,
  events: Option<EventStream>,
  /// An input to handle before further events are read.
  pending_input: Option<Input>,
  /// The lease that the admission check acquired if the target was in its cold start.
  cold_lease: Arc<Mutex<Option<cold::Lease>>>,
  prompt_tokens: u64,
  /// What is known about whether the job was executed.
  execution: Execution,
  tried_targets: Vec<Key>,
  watchdog: Watchdog,
}

impl Session {
  /// Cancels the current generation in the background.
  fn cancel_generation(&mut self) {
    self.events = None;
    let Some(chosen) = self.chosen.take() else {
      return;
    };
    let cancel = engine::cancel(
      self.host.pool.clone(),
      chosen.address,
      self.sequencer.generation(),
      self.settings.connect_timeout,
    );
    tokio::spawn(cancel);
  }

  /// Resumes a generation at the token index `from`.
  ///
  /// # Errors
  ///
  /// Returns a refusal if its engine is no longer listed in the settings.
  pub fn reattach(
    host: Host,
    job: Job,
    claims: &ReattachClaims,
    from: u64,
  ) -> Result<Self, Refusal> {
    let generation_lost = Refusal::unknown(Reason::GenerationLost);
    let chosen = host.targets.acquire_at(&claims.service, claims.target).ok_or(generation_lost)?;
    let settings = job.settings_at(&chosen);
    let sequencer = Sequencer::resume_at(claims.generation, from, limits(&job));
    let mut session = Self::build(host, job, sequencer);
    session.chosen = Some(chosen);
    session.settings = settings;
    session.pending_input = Some(Input::ConnectionLost);
    session.execution = Execution::Unknown;
    Ok(session)
  }

  fn build(host: Host, job: Job, sequencer: Sequencer) -> Self {
    Self {
      sequencer,
      chosen: None,
      skipped_cold_target: false,
      finished: false,
      host,
      settings: job.settings,
      events: None,
      pending_input: None,
      cold_lease: Arc::default(),
      prompt_tokens: 0,
      execution: Execution::NotRun,
      tried_targets: Vec::new(),
      watchdog: Watchdog::new(job.deadline),
      job,
    }
  }

  /// Counts the retry that a lost or stalled connection causes.
  fn count_retry(&self, input: &Input) {
    match input {
      Input::ConnectionLost => self.host.metrics.count_retry(RetryReason::LinkLost),
      Input::Stalled => self.host.metrics.count_retry(RetryReason::Stalled),
      Input::Event(_) | Input::NotFound => {}
    }
  }

  fn deliver(&self, index: u64, text: String) -> Output {
    self.host.metrics.relayed_tokens.inc();
    Output::Token { index, text }
  }

  fn no_target_refusal(&self, choice: Choice) -> Refusal {
    let reason = match self.skipped_cold_target {
      true => Reason::TargetCold,
      false => choice.refusal_reason(!self.tried_targets.is_empty()),
    };
    Refusal::new(self.execution, reason).with_retry_after(RETRY_AFTER)
  }

  /// Returns the id of the current generation.
  pub fn generation(&self) -> Id {
    self.sequencer.generation()
  }

  /// Returns the address of the current engine.
  pub fn target_address(&self) -> Option<SocketAddr> {
    self.chosen.as_ref().map(|chosen| chosen.address)
  }

  /// Returns the job.
  pub fn job(&self) -> &Job {
    &self.job
  }

  /// Waits for the next output, resuming and rerunning the generation as needed.
  ///
  /// # Errors
  ///
  /// Returns a refusal if the job failed; the session must not be used after that.
  pub async fn next(&mut self) -> Result<Output, Refusal> {
    loop {
      let input = self.next_input().await?;
      self.count_retry(&input);
      match self.sequencer.apply(input) {
        Action::Deliver { index, text } => return Ok(self.deliver(index, text)),
        Action::End { finish_reason } => {
          self.finished = true;
          return Ok(Output::End { finish_reason });
        }
        Action::Fail(refusal) => return Err(refusal),
        Action::Ignore => {}
        Action::Rerun => {
          self.withdraw_retry()?;
          self.host.metrics.count_retry(RetryReason::GenerationLost);
          self.cancel_generation();
          self.sequencer.restart(Id::random());
          self.start_before_deadline().await?;
          return Ok(Output::Restart);
        }
        Action::Resume { from } => self.resume_before_deadline(from).await?,
      }
    }
  }

  /// Starts a job on an engine.
  ///
  /// # Errors
  ///
  /// Returns a refusal if no engine accepts the job.
  pub async fn open(host: Host, job: Job) -> Result<Self, Refusal> {
    let sequencer = Sequencer::new(Id::random(), job.streamed, limits(&job));
    let mut session = Self::build(host, job, sequencer);
    session.start_before_deadline().await?;
    Ok(session)
  }

  /// Returns the callback that acquires a lease if the target is in its cold start.
  fn admission(&self, address: SocketAddr) -> Option<Admission> {
    if !self.job.capabilities.reports_cold {
      return None;
    }
    let host = self.host.clone();
    let cold_lease = Arc::clone(&self.cold_lease);
    Some(Box::new(move |report| {
      let admitted = async move {
        let lease = cold::acquire(&host, address, report).await?;
        *cold_lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
        Ok(())
      };
      admitted.boxed()
    }))
  }

  /// Returns the check that runs immediately before the first byte of the job is sent.
  fn send_check(&self, chosen: &Chosen) -> SendCheck {
    let clock = self.host.clock.clone();
    let deadline = self.job.deadline;
    let key = chosen.in_flight.key();
    let targets = self.host.targets.clone();
    let cold_lease = Arc::clone(&self.cold_lease);
    Box::new(move || {
      let now = clock.now();
      let cold_lease = cold_lease.lock().unwrap_or_else(PoisonError::into_inner);
      if cold_lease.as_ref().is_some_and(|lease| now >= lease.expires) {
        return Err(Refusal::not_run(Reason::TargetCold));
      }
      check_dispatch(now, deadline, targets.lock().takes_work(key))
    })
  }

  /// Returns the number of prompt tokens that the engine reported, or 0 before it did.
  pub fn prompt_tokens(&self) -> u64 {
    self.prompt_tokens
  }

  /// Waits for the next event or the stall timeout.
  ///
  /// # Errors
  ///
  /// Returns a refusal if the deadline passes before an event arrives.
  async fn next_input(&mut self) -> Result<Input, Refusal> {
    if let Some(input) = self.pending_input.take() {
      return Ok(input);
    }
    let Some(events) = &mut self.events else {
      return Ok(Input::ConnectionLost);
    };
    let timeout = match self.sequencer.next_index() {
      0 => self.settings.first_token_timeout,
      _ => self.settings.stall_timeout,
    };
    let now = self.host.clock.now();
    self.watchdog.reset(self.job.deadline.min(now + timeout));
    let input = tokio::select! {
      biased;
      input = events.next() => input,
      () = self.watchdog.expired() => Input::Stalled,
    };
    if let Input::Event(event) = &input {
      self.prompt_tokens = event.prompt_tokens.unwrap_or(self.prompt_tokens);
    } else if self.host.clock.now() >= self.job.deadline {
      return Err(self.deadline_refusal());
    }
    Ok(input)
  }

  fn deadline_refusal(&self) -> Refusal {
    Refusal::new(self.execution, Reason::DeadlinePassed)
  }

  /// Returns the next token if it has already arrived.
  pub fn ready_output(&mut self) -> Option<Output> {
    if self.pending_input.is_some() {
      return None;
    }
    let input = self.events.as_mut()?.next().now_or_never()?;
    let Input::Event(event) = input else {
      self.pending_input = Some(input);
      return None;
    };
    if event.finish_reason.is_some() || !self.sequencer.is_next(&event) {
      self.pending_input = Some(Input::Event(event));
      return None;
    }
    match self.sequencer.apply(Input::Event(event)) {
      Action::Deliver { index, text } => Some(self.deliver(index, text)),
      _ => None,
    }
  }

  async fn resume(&mut self, from: u64) {
    self.events = None;
    let Some(address) = self.chosen.as_ref().map(|chosen| chosen.address) else {
      self.pending_input = Some(Input::NotFound);
      return;
    };
    if !self.job.capabilities.resume {
      self.pending_input = Some(Input::NotFound);
      return;
    }
    if self.sequencer.consecutive_resumes() > 1 {
      time::sleep(resume_delay(self.sequencer.consecutive_resumes())).await;
    }
    let engine = Engine {
      address,
      settings: self.settings,
      pool: &self.host.pool,
    };
    match engine.resume(self.sequencer.generation(), from).await {
      OpenOutcome::NotFound => self.pending_input = Some(Input::NotFound),
      OpenOutcome::Stream(events) => self.events = Some(events),
      OpenOutcome::TimedOut => self.pending_input = Some(Input::Stalled),
      OpenOutcome::Busy | OpenOutcome::Refused(_) | OpenOutcome::Failed(_) => {
        self.pending_input = Some(Input::ConnectionLost);
      }
    }
  }

  /// Takes a retry from the buckets of the client account and the current target.
  ///
  /// # Errors
  ///
  /// Returns a refusal if either bucket holds less than one retry.
  fn withdraw_retry(&self) -> Result<(), Refusal> {
    let account = self.job.account_name();
    let key = self.chosen.as_ref().map(|chosen| chosen.in_flight.key());
    match key.is_none_or(|key| self.host.retry_buckets.try_withdraw(account, key)) {
      true => Ok(()),
      false => {
        Err(Refusal::new(self.execution, Reason::RetriesSpent).with_retry_after(RETRY_AFTER))
      }
    }
  }

  /// Sends the job to one target after another until one accepts it.
  async fn send_to_targets(&mut self) -> Result<(), Refusal> {
    for _ in 0..MAX_TARGETS {
      let chosen = self.host.targets.acquire(
        self.job.service_name(),
        &self.tried_targets,
        self.host.clock.now(),
        rand::random(),
      );
      let chosen = chosen.map_err(|choice| self.no_target_refusal(choice))?;
      if self.try_target(chosen).await? {
        return Ok(());
      }
    }
    Err(self.no_target_refusal(Choice::Unreachable))
  }

  async fn resume_before_deadline(&mut self, from: u64) -> Result<(), Refusal> {
    let deadline = self.job.deadline.into();
    let resumed = time::timeout_at(deadline, self.resume(from)).await;
    resumed.map_err(|_| self.deadline_refusal())
  }

  async fn start_before_deadline(&mut self) -> Result<(), Refusal> {
    let deadline = self.job.deadline.into();
    match time::timeout_at(deadline, self.send_to_targets()).await {
      Ok(result) => result,
      Err(_) => Err(self.deadline_refusal()),
    }
  }

  /// Sends the job to one target.
  ///
  /// Returns whether the target may have the job. If not, because no byte of the job was sent or
  /// the target refused it as busy, another target may be attempted.
  async fn try_target(&mut self, chosen: Chosen) -> Result<bool, Refusal> {
    let key = chosen.in_flight.key();
    if self.tried_targets.is_empty() {
      let percent = self.job.settings.retry_percent;
      self.host.retry_buckets.deposit(self.job.account_name(), key, percent);
    }
    self.tried_targets.push(key);
    self.settings = self.job.settings_at(&chosen);
    let engine = Engine {
      address: chosen.address,
      settings: self.settings,
      pool: &self.host.pool,
    };
    self.cold_lease = Arc::default();
    let admission = self.admission(chosen.address);
    let send_check = self.send_check(&chosen);
    let previous_execution = self.execution;
    // Set before the first await: if this future is dropped there, the job may have been sent.
    self.chosen = Some(chosen);
    self.execution = Execution::Unknown;
    let outcome = engine
      .start(
        self.sequencer.generation(),
        &self.job.body,
        admission,
        send_check,
      )
      .await;
    let connected = !matches!(outcome, OpenOutcome::Failed(Error::NotSent { .. }));
    self.host.targets.lock().record_connection(key, connected, self.host.clock.now());
    match outcome {
      OpenOutcome::Stream(events) => self.events = Some(events),
      OpenOutcome::TimedOut => self.pending_input = Some(Input::Stalled),
      OpenOutcome::Failed(Error::Sent(_)) => self.pending_input = Some(Input::ConnectionLost),
      OpenOutcome::Busy => {
        let withdrawn = self.withdraw_retry();
        self.host.metrics.count_retry(RetryReason::TargetRefused);
        self.clear_target(weaker_claim(previous_execution, Execution::Failed));
        return withdrawn
          .map(|()| false)
          .map_err(|refusal| Refusal::new(self.execution, refusal.reason));
      }
      OpenOutcome::Failed(Error::Denied(refusal)) => {
        self.clear_target(previous_execution);
        return match refusal.reason {
          Reason::NoTarget => Ok(false),
          Reason::TargetCold => {
            self.host.metrics.count_retry(RetryReason::TargetCold);
            self.host.targets.lock().pause(key, self.host.clock.now());
            self.skipped_cold_target = true;
            Ok(false)
          }
          reason => Err(Refusal::new(previous_execution, reason)),
        };
      }
      OpenOutcome::Failed(Error::NotSent { .. }) => {
        self.host.metrics.count_retry(RetryReason::Connect);
        self.clear_target(previous_execution);
        return Ok(false);
      }
      OpenOutcome::NotFound | OpenOutcome::Refused(_) => {
        self.clear_target(weaker_claim(previous_execution, Execution::Failed));
        return Err(Refusal::new(self.execution, Reason::TargetRefused));
      }
    }
    Ok(true)
  }

  /// Records that no generation of this job is left on the current target.
  fn clear_target(&mut self, execution: Execution) {
    self.chosen = None;
    self.execution = execution;
  }
}

impl Drop for Session {
  fn drop(&mut self) {
    if !self.finished && !self.job.reattachable && tokio::runtime::Handle::try_current().is_ok() {
      self.cancel_generation();
    }
  }
}

fn limits(job: &Job) -> Limits {
  Limits {
    reruns: job.settings.reruns,
    resumes: job.settings.resumes,
  }
}

/// Checks whether the first byte of a job may still be sent.
fn check_dispatch(now: Instant, deadline: Instant, target_takes_work: bool) -> Result<(), Refusal> {
  if now >= deadline {
    return Err(Refusal::not_run(Reason::DeadlinePassed));
  }
  if !target_takes_work {
    return Err(Refusal::not_run(Reason::NoTarget));
  }
  Ok(())
}

/// Returns an exponential backoff with jitter.
fn resume_delay(resumes: u64) -> Duration {
  let doublings = u32::try_from(resumes.min(16)).unwrap_or(16);
  let delay = MIN_RESUME_DELAY.saturating_mul(1 << doublings).min(MAX_RESUME_DELAY);
  delay.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Returns the weaker of two claims about whether a job was executed.
fn weaker_claim(a: Execution, b: Execution) -> Execution {
  match (a, b) {
    (Execution::Unknown, _) | (_, Execution::Unknown) => Execution::Unknown,
    (Execution::Failed, _) | (_, Execution::Failed) => Execution::Failed,
    _ => Execution::NotRun,
  }
}
