use {
  super::{
    Assembly, Attachment, Id, Input, Job, Limits, Link, Opened, Step, Watchdog,
    engine::{self, Engine},
  },
  crate::{
    cold,
    host::Host,
    metrics::Retry,
    refusal::{Ran, Reason, Refusal},
    target::{Choice, Chosen, Key},
    tree::Knobs,
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

const BUSY_RETRY: Duration = Duration::from_millis(500);
const MAX_RESUME_DELAY: Duration = Duration::from_secs(1);
const MAX_TARGETS: usize = 8;
const MIN_RESUME_DELAY: Duration = Duration::from_millis(50);

/// What a session hands on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
  /// The generation is whole.
  End {
    /// Why the engine ended it.
    finish_reason: String,
  },
  /// Everything handed on so far is void; the job runs again.
  Restart,
  /// The next token.
  Token {
    /// Its index.
    index: u64,
    /// Its text.
    text: String,
  },
}

/// Drives one job through its engines and hands on its tokens in order.
///
/// Dropping an unfinished session cancels its generation at the engine, unless
/// its caller may reattach.
pub struct Session {
  assembly: Assembly,
  chosen: Option<Chosen>,
  /// Whether a target was passed over because it is in its cold start.
  cold: bool,
  finished: bool,
  host: Host,
  job: Job,
  knobs: Knobs,
  link: Option<Link>,
  pending: Option<Input>,
  place: Arc<Mutex<Option<cold::Place>>>,
  prompt_tokens: u64,
  ran: Ran,
  tried: Vec<Key>,
  watchdog: Watchdog,
}

impl Session {
  fn abandon(&mut self) {
    self.link = None;
    let Some(chosen) = self.chosen.take() else {
      return;
    };
    let cancel = engine::cancel(
      self.host.pool.clone(),
      chosen.address,
      self.assembly.generation(),
      self.knobs.connect_timeout,
    );
    tokio::spawn(cancel);
  }

  /// Goes on with a generation from the token after those its caller has seen.
  ///
  /// # Errors
  ///
  /// Refuses when the settings no longer have its engine.
  pub fn attach(host: Host, job: Job, attachment: &Attachment, from: u64) -> Result<Self, Refusal> {
    let lost = Refusal::unknown(Reason::GenerationLost);
    let chosen = host.targets.acquire_at(&attachment.service, attachment.target).ok_or(lost)?;
    let knobs = job.knobs_at(&chosen);
    let assembly = Assembly::attach(attachment.generation, from, limits(&job));
    let mut session = Self::build(host, job, assembly);
    session.chosen = Some(chosen);
    session.knobs = knobs;
    session.pending = Some(Input::LinkLost);
    session.ran = Ran::Unknown;
    Ok(session)
  }

  fn build(host: Host, job: Job, assembly: Assembly) -> Self {
    Self {
      assembly,
      chosen: None,
      cold: false,
      finished: false,
      host,
      knobs: job.knobs,
      link: None,
      pending: None,
      place: Arc::default(),
      prompt_tokens: 0,
      ran: Ran::NotRun,
      tried: Vec::new(),
      watchdog: Watchdog::new(job.deadline),
      job,
    }
  }

  fn count(&self, input: &Input) {
    match input {
      Input::LinkLost => self.host.metrics.retry(Retry::LinkLost),
      Input::Stalled => self.host.metrics.retry(Retry::Stalled),
      Input::Event(_) | Input::Gone => {}
    }
  }

  fn deliver(&self, index: u64, text: String) -> Piece {
    self.host.metrics.tokens.inc();
    Piece::Token { index, text }
  }

  fn exhausted(&self, choice: Choice) -> Refusal {
    let reason = match self.cold {
      true => Reason::TargetCold,
      false => choice.refusal_reason(!self.tried.is_empty()),
    };
    Refusal::new(self.ran, reason).with_retry_after(BUSY_RETRY)
  }

  /// Returns the generation in hand.
  pub fn generation(&self) -> Id {
    self.assembly.generation()
  }

  /// Returns the address of the engine in hand.
  pub fn target(&self) -> Option<SocketAddr> {
    self.chosen.as_ref().map(|chosen| chosen.address)
  }

  /// Returns the job.
  pub fn job(&self) -> &Job {
    &self.job
  }

  /// Returns the next piece.
  ///
  /// # Errors
  ///
  /// Ends the job with a refusal; the session is of no more use.
  pub async fn next(&mut self) -> Result<Piece, Refusal> {
    loop {
      let input = self.read().await?;
      self.count(&input);
      match self.assembly.apply(input) {
        Step::Deliver { index, text } => return Ok(self.deliver(index, text)),
        Step::End { finish_reason } => {
          self.finished = true;
          return Ok(Piece::End { finish_reason });
        }
        Step::Fail(refusal) => return Err(refusal),
        Step::Ignore => {}
        Step::Rerun => {
          self.spend()?;
          self.host.metrics.retry(Retry::GenerationLost);
          self.abandon();
          self.assembly.restart(Id::random());
          self.start_in_time().await?;
          return Ok(Piece::Restart);
        }
        Step::Resume { from } => self.resume_in_time(from).await?,
      }
    }
  }

  /// Starts a job at an engine.
  ///
  /// # Errors
  ///
  /// Refuses when no engine takes it.
  pub async fn open(host: Host, job: Job) -> Result<Self, Refusal> {
    let assembly = Assembly::new(Id::random(), job.streamed, limits(&job));
    let mut session = Self::build(host, job, assembly);
    session.start_in_time().await?;
    Ok(session)
  }

  /// Asks for a place when the target turns out to be in its cold start.
  fn admission(&self, address: SocketAddr) -> Option<Admission> {
    if !self.job.traits.reports_cold {
      return None;
    }
    let host = self.host.clone();
    let place = Arc::clone(&self.place);
    Some(Box::new(move |report| {
      let admitted = async move {
        let granted = cold::admit(&host, address, report).await?;
        *place.lock().unwrap_or_else(PoisonError::into_inner) = Some(granted);
        Ok(())
      };
      admitted.boxed()
    }))
  }

  fn permit(&self, chosen: &Chosen) -> SendCheck {
    let clock = self.host.clock.clone();
    let deadline = self.job.deadline;
    let key = chosen.in_flight.key();
    let targets = self.host.targets.clone();
    let place = Arc::clone(&self.place);
    Box::new(move || {
      let now = clock.now();
      let place = place.lock().unwrap_or_else(PoisonError::into_inner);
      if place.as_ref().is_some_and(|place| now >= place.until) {
        return Err(Refusal::not_run(Reason::TargetCold));
      }
      permit(now, deadline, targets.lock().takes_work(key))
    })
  }

  /// Returns the number of prompt tokens that the engine reported.
  pub fn prompt_tokens(&self) -> u64 {
    self.prompt_tokens
  }

  /// Waits for the next event, for a stall or for the deadline.
  async fn read(&mut self) -> Result<Input, Refusal> {
    if let Some(input) = self.pending.take() {
      return Ok(input);
    }
    let Some(link) = &mut self.link else {
      return Ok(Input::LinkLost);
    };
    let timeout = match self.assembly.next() {
      0 => self.knobs.first_token_timeout,
      _ => self.knobs.stall_timeout,
    };
    let now = self.host.clock.now();
    self.watchdog.put_off(self.job.deadline.min(now + timeout));
    let input = tokio::select! {
      biased;
      input = link.next() => input,
      () = self.watchdog.expired() => Input::Stalled,
    };
    if let Input::Event(event) = &input {
      self.prompt_tokens = event.prompt_tokens.unwrap_or(self.prompt_tokens);
    } else if self.host.clock.now() >= self.job.deadline {
      return Err(self.late());
    }
    Ok(input)
  }

  fn late(&self) -> Refusal {
    Refusal::new(self.ran, Reason::DeadlinePassed)
  }

  /// Returns the next token if it has arrived already.
  pub fn ready(&mut self) -> Option<Piece> {
    if self.pending.is_some() {
      return None;
    }
    let input = self.link.as_mut()?.next().now_or_never()?;
    let Input::Event(event) = input else {
      self.pending = Some(input);
      return None;
    };
    if event.finish_reason.is_some() || !self.assembly.is_next(&event) {
      self.pending = Some(Input::Event(event));
      return None;
    }
    match self.assembly.apply(Input::Event(event)) {
      Step::Deliver { index, text } => Some(self.deliver(index, text)),
      _ => None,
    }
  }

  async fn resume(&mut self, from: u64) {
    self.link = None;
    let Some(address) = self.chosen.as_ref().map(|chosen| chosen.address) else {
      self.pending = Some(Input::Gone);
      return;
    };
    if !self.job.traits.resume {
      self.pending = Some(Input::Gone);
      return;
    }
    if self.assembly.resumes() > 1 {
      time::sleep(resume_delay(self.assembly.resumes())).await;
    }
    let engine = Engine {
      address,
      knobs: self.knobs,
      pool: &self.host.pool,
    };
    match engine.resume(self.assembly.generation(), from).await {
      Opened::Gone => self.pending = Some(Input::Gone),
      Opened::Link(link) => self.link = Some(link),
      Opened::Stalled => self.pending = Some(Input::Stalled),
      Opened::Busy | Opened::Refused(_) | Opened::Unsent(_) => {
        self.pending = Some(Input::LinkLost);
      }
    }
  }

  /// Takes a retry after a failure at the target in hand.
  fn spend(&self) -> Result<(), Refusal> {
    let account = self.job.account_name();
    let key = self.chosen.as_ref().map(|chosen| chosen.in_flight.key());
    match key.is_none_or(|key| self.host.retry_buckets.try_withdraw(account, key)) {
      true => Ok(()),
      false => Err(Refusal::new(self.ran, Reason::RetriesSpent).with_retry_after(BUSY_RETRY)),
    }
  }

  async fn start(&mut self) -> Result<(), Refusal> {
    for _ in 0..MAX_TARGETS {
      let chosen = self.host.targets.acquire(
        self.job.service_name(),
        &self.tried,
        self.host.clock.now(),
        rand::random(),
      );
      let chosen = chosen.map_err(|choice| self.exhausted(choice))?;
      if self.try_target(chosen).await? {
        return Ok(());
      }
    }
    Err(self.exhausted(Choice::Unreachable))
  }

  async fn resume_in_time(&mut self, from: u64) -> Result<(), Refusal> {
    let deadline = self.job.deadline.into();
    let resumed = time::timeout_at(deadline, self.resume(from)).await;
    resumed.map_err(|_| self.late())
  }

  async fn start_in_time(&mut self) -> Result<(), Refusal> {
    let deadline = self.job.deadline.into();
    match time::timeout_at(deadline, self.start()).await {
      Ok(result) => result,
      Err(_) => Err(self.late()),
    }
  }

  /// Sends the job to one target; returns whether it may have it.
  async fn try_target(&mut self, chosen: Chosen) -> Result<bool, Refusal> {
    let key = chosen.in_flight.key();
    if self.tried.is_empty() {
      let percent = self.job.knobs.retry_percent;
      self.host.retry_buckets.deposit(self.job.account_name(), key, percent);
    }
    self.tried.push(key);
    self.knobs = self.job.knobs_at(&chosen);
    let engine = Engine {
      address: chosen.address,
      knobs: self.knobs,
      pool: &self.host.pool,
    };
    self.place = Arc::default();
    let admission = self.admission(chosen.address);
    let permit = self.permit(&chosen);
    let before = self.ran;
    // A future that is dropped while it waits counts as sent.
    self.chosen = Some(chosen);
    self.ran = Ran::Unknown;
    let opened = engine
      .start(
        self.assembly.generation(),
        &self.job.body,
        admission,
        permit,
      )
      .await;
    let connected = !matches!(opened, Opened::Unsent(Error::NotSent { .. }));
    self.host.targets.lock().record_connection(key, connected, self.host.clock.now());
    match opened {
      Opened::Link(link) => self.link = Some(link),
      Opened::Stalled => self.pending = Some(Input::Stalled),
      Opened::Unsent(Error::Sent(_)) => self.pending = Some(Input::LinkLost),
      Opened::Busy => {
        let spent = self.spend();
        self.host.metrics.retry(Retry::TargetRefused);
        self.unsent(worse(before, Ran::Failed));
        return spent.map(|()| false).map_err(|refusal| Refusal::new(self.ran, refusal.reason));
      }
      Opened::Unsent(Error::Denied(refusal)) => {
        self.unsent(before);
        return match refusal.reason {
          Reason::NoTarget => Ok(false),
          Reason::TargetCold => {
            self.host.metrics.retry(Retry::TargetCold);
            self.host.targets.lock().pause(key, self.host.clock.now());
            self.cold = true;
            Ok(false)
          }
          reason => Err(Refusal::new(before, reason)),
        };
      }
      Opened::Unsent(Error::NotSent { .. }) => {
        self.host.metrics.retry(Retry::Connect);
        self.unsent(before);
        return Ok(false);
      }
      Opened::Gone | Opened::Refused(_) => {
        self.unsent(worse(before, Ran::Failed));
        return Err(Refusal::new(self.ran, Reason::TargetRefused));
      }
    }
    Ok(true)
  }

  /// Records that the target in hand has no generation of this job.
  fn unsent(&mut self, ran: Ran) {
    self.chosen = None;
    self.ran = ran;
  }
}

impl Drop for Session {
  fn drop(&mut self) {
    if !self.finished && !self.job.reattachable && tokio::runtime::Handle::try_current().is_ok() {
      self.abandon();
    }
  }
}

fn limits(job: &Job) -> Limits {
  Limits {
    reruns: job.knobs.reruns,
    resumes: job.knobs.resumes,
  }
}

/// Decides whether the first byte of a job may go out now.
fn permit(now: Instant, deadline: Instant, open: bool) -> Result<(), Refusal> {
  if now >= deadline {
    return Err(Refusal::not_run(Reason::DeadlinePassed));
  }
  if !open {
    return Err(Refusal::not_run(Reason::NoTarget));
  }
  Ok(())
}

fn resume_delay(resumes: u64) -> Duration {
  let doublings = u32::try_from(resumes.min(16)).unwrap_or(16);
  let delay = MIN_RESUME_DELAY.saturating_mul(1 << doublings).min(MAX_RESUME_DELAY);
  delay.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Returns the weaker of two claims about whether a job ran.
fn worse(a: Ran, b: Ran) -> Ran {
  match (a, b) {
    (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
    (Ran::Failed, _) | (_, Ran::Failed) => Ran::Failed,
    _ => Ran::NotRun,
  }
}
