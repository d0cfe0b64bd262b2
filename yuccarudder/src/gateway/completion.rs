//! Asks targets whether they still run after responses ended with their connections, and which of their
//! processes continues a stream.
//!
//! A question proves only responses that had ended before it was asked. Those that end while a target is
//! being asked share the next question.

use {
  super::{Gateway, assignment::Assignment, breaks::Cause, call::Call},
  crate::{
    completion::{Ended, Sign, Verdict},
    dialect::Report,
    relocation::REPORT_LAG,
    roster::Key,
  },
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{sync::oneshot, time},
};

/// Time during which responses end that share a question.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Time for a target to accept the connection that shows whether it still runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a target to answer that has no place for a question while it is busy.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(150);
const PREFIX: &str = "completion";
/// Longest wait for proof that a response is whole: the lag of a report, and a lost packet, which delays a
/// question.
const PROOF_TIMEOUT: Duration = REPORT_LAG.saturating_add(Duration::from_millis(700));
/// Longest wait until a target tells when its process started.
const START_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two questions about a response.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// The process of a target to ask.
struct Process {
  address: SocketAddr,
  /// The path of its health check; `None` for an engine, which reports its status.
  health_path: Option<String>,
  id: Arc<str>,
  key: Key,
  started_ms: Option<u64>,
}

impl Call {
  /// Returns whether a response is whole that has just ended with its connection, after asking its target.
  /// Its head arrived at `answered_at`; `events` is the number of events that the caller has, of this run and
  /// those before it, if it is a stream.
  ///
  /// It takes a round trip if the target answers, the lag of its report if that may list the run or be older
  /// than it, and `timeout` or `PROOF_TIMEOUT` at most.
  pub(super) async fn is_proven_whole(
    &self,
    assignment: &Assignment,
    answered_at: Instant,
    events: Option<u64>,
    timeout: Duration,
  ) -> bool {
    let clock = &self.gateway.clock;
    let ended_at = clock.now();
    let deadline = ended_at + timeout.min(PROOF_TIMEOUT);
    let mut questions = 0;
    let mut ask_at = ended_at;
    let (sign, verdict) = loop {
      time::sleep_until(ask_at.into()).await;
      let asked_at = clock.now();
      questions += 1;
      let answer = self.gateway.ask_for_sign(self.process_of(assignment));
      let answer = time::timeout_at(deadline.into(), answer).await;
      let sign = answer.ok().flatten().unwrap_or(Sign::Silent);
      let ended = Ended {
        request_id: self.id(),
        events,
        since_head: asked_at.saturating_duration_since(answered_at),
        questions,
      };
      let verdict = ended.judge(&sign);
      ask_at = match sign {
        // The report shows what has ended by now once its lag has passed.
        Sign::Runs(_) => (ended_at + REPORT_LAG).max(clock.now() + ASK_INTERVAL),
        _ => clock.now() + ASK_INTERVAL,
      };
      if verdict != Verdict::Open || ask_at >= deadline {
        break (sign, verdict);
      }
    };
    let elapsed = clock.now().saturating_duration_since(ended_at);
    self.gateway.instruments.unframed_ends.with_label_values(&[verdict.name()]).inc();
    log::info!(
      target: PREFIX, id = self.id(), target:% = assignment.target.id, verdict = verdict.name(), sign = sign.name(),
      questions, events, elapsed_ms = elapsed.as_millis() as u64;
      "Asked whether a response is whole that ended with its connection."
    );
    verdict == Verdict::Whole
  }

  /// Returns whether the run of an engine, whose response has begun, is one of the process that is listed, as far
  /// as the engine tells. One that was started again under its ID may have another software version.
  ///
  /// An engine that does not run any more cannot tell; its run counts as broken off.
  pub(super) async fn is_at_listed_process(&self, assignment: &Assignment) -> bool {
    if self.service().is_none_or(|service| service.engine.is_none()) {
      return true;
    }
    let clock = &self.gateway.clock;
    let answered_at = clock.now();
    let sign = self.gateway.ask_for_sign(self.process_of(assignment));
    let sign = time::timeout(START_TIMEOUT, sign).await.ok().flatten();
    let is_listed = sign != Some(Sign::Gone);
    if !is_listed {
      log::warn!(target: PREFIX, id = self.id(), target:% = assignment.target.id; "A target ended or was started again since it was listed, so its run does not continue a stream.");
      self
        .report_break(
          assignment,
          Some(answered_at),
          clock.now(),
          Cause::ConnectionLost,
        )
        .await;
    }
    is_listed
  }

  fn process_of(&self, assignment: &Assignment) -> Process {
    let service = self.service().filter(|service| service.engine.is_none());
    let listing = &assignment.target.listing;
    Process {
      address: listing.address,
      health_path: service.map(|service| service.health_path.clone()),
      id: Arc::clone(&assignment.target.id),
      key: assignment.key,
      started_ms: listing.started_ms,
    }
  }
}

impl Gateway {
  /// Asks a process for a sign that it runs, together with other tasks that wait for one.
  async fn ask_for_sign(&self, process: Process) -> Option<Sign> {
    let (sender, receiver) = oneshot::channel();
    let is_first = {
      let mut state = self.lock();
      let is_first = !state.sign_waiters.contains_key(&process.key);
      state.sign_waiters.entry(process.key).or_default().push(sender);
      is_first
    };
    if is_first {
      tokio::spawn(self.clone().keep_asking(process));
    }
    receiver.await.ok()
  }

  /// Asks a process as long as tasks wait for a sign of it.
  async fn keep_asking(self, process: Process) {
    loop {
      time::sleep(GATHER_TIME).await;
      let waiters = {
        let mut state = self.lock();
        let waiters = state.sign_waiters.get_mut(&process.key).map(std::mem::take);
        let waiters = waiters.unwrap_or_default();
        if waiters.is_empty() {
          state.sign_waiters.remove(&process.key);
          return;
        }
        waiters
      };
      let sign = self.find_sign(&process).await;
      for waiter in waiters {
        // The task may have given up.
        let _ = waiter.send(sign.clone());
      }
    }
  }

  async fn find_sign(&self, process: &Process) -> Sign {
    if self.is_replaced(process.key, process.address) {
      return Sign::Gone;
    }
    let may_ask = self.try_take_calls(process.key, 1.0);
    let Some(health_path) = process.health_path.clone() else {
      // A report needs no place, so it is asked for during a pause, too.
      if !may_ask {
        return self.find_listener(process, Sign::Silent).await;
      }
      return match (self.dialect.inspect)(process.address).await {
        Some(report) => read_report(process.started_ms, report),
        None => self.find_listener(process, Sign::Silent).await,
      };
    };
    if !may_ask || self.is_paused(process.key) {
      return self.find_listener(process, Sign::Listens).await;
    }
    let answer = (self.dialect.identify)(process.address, health_path, Arc::clone(&process.id));
    match time::timeout(IDENTIFY_TIMEOUT, answer).await {
      Ok(Some(true)) => Sign::Answers,
      Ok(Some(false)) => Sign::Gone,
      Ok(None) | Err(_) => self.find_listener(process, Sign::Listens).await,
    }
  }

  /// Returns `sign` if a process listens at the address of the one that does not answer.
  async fn find_listener(&self, process: &Process, sign: Sign) -> Sign {
    match self.pool.is_listening(process.address, CONNECT_TIMEOUT).await {
      Some(true) => sign,
      Some(false) => Sign::Gone,
      None => Sign::Silent,
    }
  }
}

/// Returns what a report proves of the process that started at a time, in milliseconds since the Unix epoch.
fn read_report(started_ms: Option<u64>, report: Report) -> Sign {
  match (started_ms.zip(report.started_ms), report.runs) {
    (Some((listed, reported)), _) if listed != reported => Sign::Gone,
    (_, Some(runs)) => Sign::Runs(runs),
    (Some(_), None) => Sign::Answers,
    (None, None) => Sign::Listens,
  }
}
