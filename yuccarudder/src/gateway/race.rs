use {
  super::{
    assignment::Assignment,
    breaks::Cause,
    buffered::{self, Failure},
    call::Call,
    retrying::Attempts,
    verdict,
  },
  crate::{
    attempt::{self, Outcome},
    http::Body,
    links, placement,
    refusal::Refusal,
  },
  futures::{
    FutureExt, StreamExt,
    future::{self, BoxFuture},
    stream::FuturesUnordered,
  },
  hyper::Response,
  std::{
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    time::Instant,
  },
  tokio::time,
};

const PREFIX: &str = "race";

/// A target at which the request was attempted.
struct Contender {
  assignment: Assignment,
  /// Whether the head of its response has arrived.
  is_answering: AtomicBool,
}

/// The end of an attempt.
struct End {
  /// Whether the request was passed on to another host.
  is_of_host: bool,
  /// Number of the attempt, from 0.
  number: usize,
  result: Result<Response<Body>, Failure>,
}

/// What happens next to the attempts of a request.
enum Event {
  Assigned(Box<Result<Assignment, Refusal>>),
  Ended(End),
  HedgeDue,
}

/// The attempts at a request whose response is buffered. A request that may be repeated is sent to
/// another target when it has had no answer for some time, and the first answer counts.
///
/// Dropping it closes the connections of all attempts, which ends their runs.
pub(super) struct Race<'a> {
  /// Waits for the target of the next attempt.
  assigning: Option<BoxFuture<'a, Result<Assignment, Refusal>>>,
  /// All attempts that have not ended are possible runs in its history.
  attempts: Attempts,
  call: &'a Call,
  /// The targets by the number of the attempt; `None` for one that has ended or was made at another
  /// host.
  contenders: Vec<Option<Arc<Contender>>>,
  /// Whether another attempt was granted that has not been made yet.
  has_grant: bool,
  hedge_at: Option<Instant>,
  /// The response of a target that failed the request while other attempts went on.
  held: Option<Response<Body>>,
  running: FuturesUnordered<BoxFuture<'a, End>>,
}

impl<'a> Race<'a> {
  pub(super) fn new(call: &'a Call) -> Self {
    Self {
      assigning: None,
      attempts: Attempts::new(call),
      call,
      contenders: Vec::new(),
      has_grant: false,
      hedge_at: None,
      held: None,
      running: FuturesUnordered::new(),
    }
  }

  /// Makes attempts until one succeeds or no other may be made.
  ///
  /// # Errors
  ///
  /// Returns a refusal that states whether the request ran, as far as is known.
  pub(super) async fn run(mut self) -> Result<Response<Body>, Refusal> {
    self.prepare();
    loop {
      let result = match self.next().await {
        Event::Assigned(result) => match *result {
          Ok(assignment) => {
            self.begin(assignment);
            None
          }
          Err(refusal) => self.handle_refusal(refusal),
        },
        Event::Ended(end) => self.handle_end(end),
        Event::HedgeDue => {
          self.hedge().await;
          None
        }
      };
      if let Some(result) = result {
        return result;
      }
    }
  }

  async fn next(&mut self) -> Event {
    let hedge_at = self.hedge_at;
    let assigning = &mut self.assigning;
    let assigned = async {
      match assigning {
        Some(result) => {
          let result = result.await;
          *assigning = None;
          result
        }
        None => future::pending().await,
      }
    };
    let hedge_due = async {
      match hedge_at {
        Some(at) => time::sleep_until(at.into()).await,
        None => future::pending().await,
      }
    };
    tokio::select! {
      biased;
      Some(end) = self.running.next() => Event::Ended(end),
      result = assigned => Event::Assigned(Box::new(result)),
      () = hedge_due => Event::HedgeDue,
    }
  }

  /// Passes the request on to another host, or has a target chosen for the next attempt.
  fn prepare(&mut self) {
    let call = self.call;
    let Some(host) = self.attempts.next_helper(call) else {
      let attempts = self.attempts.clone();
      self.assigning = Some(async move { attempts.assign(call).await }.boxed());
      return;
    };
    let history = self.attempts.history;
    let number = self.start(None);
    self.hedge_at = None;
    self.running.push(
      async move {
        End {
          is_of_host: true,
          number,
          result: buffered::exchange_with_host(call, host, &history).await,
        }
      }
      .boxed(),
    );
  }

  /// Sends the request to a target.
  fn begin(&mut self, assignment: Assignment) {
    self.attempts.record_assignment(&assignment);
    let call = self.call;
    let contender = Arc::new(Contender {
      assignment,
      is_answering: AtomicBool::new(false),
    });
    let number = self.start(Some(Arc::clone(&contender)));
    self.schedule_hedge();
    self.running.push(
      async move {
        let Contender {
          assignment,
          is_answering,
        } = &*contender;
        End {
          is_of_host: false,
          number,
          result: buffered::exchange(call, assignment, call.time_left(), is_answering).await,
        }
      }
      .boxed(),
    );
  }

  /// Records the start of an attempt; returns its number.
  fn start(&mut self, contender: Option<Arc<Contender>>) -> usize {
    self.attempts.history.possible_runs += 1;
    self.has_grant = false;
    self.contenders.push(contender);
    self.contenders.len() - 1
  }

  fn schedule_hedge(&mut self) {
    let delay = attempt::hedge_delay(&self.attempts.history, self.call.time_left());
    self.hedge_at = delay.map(|delay| self.call.gateway.clock.now() + delay);
  }

  /// Has another attempt made beside those that have no answer, if one is granted.
  async fn hedge(&mut self) {
    let silent = self.contenders.iter().rev().flatten().next();
    if let Some(contender) = silent.filter(|contender| !contender.is_answering()) {
      let assignment = &contender.assignment;
      let failure = links::Failure::Silent;
      self.call.record_unreached(assignment, failure, assignment.assigned_at);
      self
        .call
        .report_break(
          assignment,
          None,
          self.call.gateway.clock.now(),
          Cause::Silent,
        )
        .await;
    }
    self.hedge_at = None;
    if self.grant(Outcome::Lost) {
      self.prepare();
    } else {
      self.schedule_hedge();
    }
  }

  /// Returns whether another attempt may be made.
  fn grant(&mut self, outcome: Outcome) -> bool {
    self.has_grant = !self.call.time_left().is_zero()
      && (self.has_grant || self.call.grant_retry(&self.attempts.history, outcome));
    self.has_grant
  }

  /// Handles that no target can be chosen.
  fn handle_refusal(&mut self, refusal: Refusal) -> Option<Result<Response<Body>, Refusal>> {
    if self.running.is_empty() {
      return Some(self.take_held().ok_or(refusal));
    }
    self.schedule_hedge();
    None
  }

  fn handle_end(&mut self, end: End) -> Option<Result<Response<Body>, Refusal>> {
    self.contenders[end.number] = None;
    let failure = match end.result {
      Ok(response) => {
        self.record_overtaken(end.number);
        return Some(Ok(buffered::finish(self.call, response)));
      }
      Err(failure) => failure,
    };
    self.attempts.record_end(self.call, failure.outcome);
    // If a target is being chosen, that is the retry.
    let is_retried = self.assigning.is_some();
    if !is_retried && self.grant(failure.outcome) {
      self.prepare();
      return None;
    }
    if is_retried || !self.running.is_empty() {
      self.hold(failure.response, end.is_of_host);
      return None;
    }
    Some(self.give_up(failure, end.is_of_host))
  }

  /// Keeps the response of a target that failed the request, unless its status would state that the
  /// request did not run.
  fn hold(&mut self, response: Option<Response<Body>>, is_of_host: bool) {
    let is_kept =
      |response: &Response<Body>| !is_of_host && !verdict::means_not_run(response.status());
    self.held = response.filter(is_kept).or(self.held.take());
  }

  /// Ends the request with the response that is held, if there is one.
  fn take_held(&mut self) -> Option<Response<Body>> {
    self.held.take().map(|response| buffered::finish(self.call, response))
  }

  /// Records that targets did not answer for longer than another one took from a later start.
  fn record_overtaken(&self, winner: usize) {
    for contender in self.contenders[..winner].iter().flatten() {
      log::info!(
        target: PREFIX, id = self.call.id(), target:% = contender.assignment.target.id,
        elapsed_ms = self.call.elapsed().as_millis() as u64;
        "Another target answered a request first."
      );
      let outcome = placement::Outcome::Failed;
      self.call.gateway.record_outcome(contender.assignment.key, outcome);
    }
  }

  /// Ends a request without another attempt: the caller gets the response of a target that is held, or
  /// the promise of another host that the request did not run.
  fn give_up(&mut self, failure: Failure, is_of_host: bool) -> Result<Response<Body>, Refusal> {
    let call = self.call;
    let history = self.attempts.history;
    let refusal = || call.final_refusal(&history, failure.outcome);
    if is_of_host && failure.outcome == Outcome::NotRun && history.possible_runs == 0 {
      return failure.response.ok_or_else(refusal);
    }
    self.hold(failure.response, is_of_host);
    self.take_held().ok_or_else(refusal)
  }
}

impl Contender {
  fn is_answering(&self) -> bool {
    self.is_answering.load(Ordering::Relaxed)
  }
}
