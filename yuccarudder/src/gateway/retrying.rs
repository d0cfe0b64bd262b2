use {
  super::{
    assignment::{Assignment, Purpose},
    call::Call,
  },
  crate::{
    attempt::{self, Decision, History, Outcome},
    metrics::RetryReason,
    refusal::{Reason, Refusal},
    roster::Key,
  },
  std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
};

const PREFIX: &str = "retrying";
/// Retry-after time when no target ran the request: a target that rejected it may accept work
/// again by then.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl Call {
  /// Returns the refusal for the caller after the last attempt.
  pub fn final_refusal(&self, history: &History, outcome: Outcome) -> Refusal {
    if history.possible_runs == 0 {
      let reason = match outcome {
        Outcome::NotSent => Reason::TargetsUnreachable,
        _ => Reason::TargetsBusy,
      };
      let refusal = || Refusal::not_run(reason).with_retry_after(RETRY_AFTER);
      return self.all_paused().unwrap_or_else(refusal);
    }
    let reason = if self.time_left().is_zero() {
      Reason::DeadlinePassed
    } else {
      Reason::TargetLost
    };
    Refusal::unknown(reason)
  }

  /// Decides whether the request is sent again. The retry counts against the retry budget unless
  /// no byte of the request was sent in the last attempt.
  pub fn grant_retry(&self, history: &History, outcome: Outcome) -> bool {
    let Decision::Retry { needs_budget } = attempt::decide(outcome, history) else {
      return false;
    };
    if self.time_left().is_zero() {
      return false;
    }
    let granted = !needs_budget || self.gateway.try_acquire_retry(&self.service_name);
    log::info!(
      target: PREFIX, id = self.id(), outcome = outcome.name(), tries = history.attempts, runs = history.possible_runs, granted;
      "Decided whether to retry a request."
    );
    if granted {
      self.gateway.metrics.count_retry(match outcome {
        Outcome::Failed | Outcome::Lost => RetryReason::TargetLost,
        Outcome::NotRun => RetryReason::TargetRefused,
        Outcome::NotSent => RetryReason::Connect,
      });
    }
    granted
  }
}

/// The attempts to send one request.
#[derive(Clone)]
pub struct Attempts {
  /// What is known about the attempts so far; it decides whether another one may follow.
  pub history: History,
  tried_hosts: Vec<SocketAddr>,
  tried_targets: Vec<Key>,
}

impl Attempts {
  /// Records the outcome of a failed attempt that counted as a possible run from its start.
  pub fn record_end(&mut self, call: &Call, outcome: Outcome) {
    self.history.possible_runs -= u32::from(outcome.is_not_run());
    call.may_have_run.store(self.history.possible_runs > 0, Ordering::Relaxed);
  }

  /// Records the outcome of a failed attempt; returns whether another one follows.
  pub fn record_failure(&mut self, call: &Call, outcome: Outcome) -> bool {
    self.history.possible_runs += u32::from(!outcome.is_not_run());
    call.may_have_run.store(self.history.possible_runs > 0, Ordering::Relaxed);
    call.grant_retry(&self.history, outcome)
  }

  /// Creates the state before the first attempt.
  ///
  /// A request that another host passed on may have run before.
  pub fn new(call: &Call) -> Self {
    Self {
      history: History {
        repeatable: call.is_repeatable(),
        possible_runs: call.metadata.forwarded.map_or(0, |forwarded| forwarded.possible_runs),
        max_runs: call.route().max_runs,
        attempts: 0,
      },
      tried_hosts: Vec::new(),
      tried_targets: Vec::new(),
    }
  }

  /// Returns the host to which the request is passed on instead of a target, if it is.
  pub fn next_helper(&mut self, call: &Call) -> Option<SocketAddr> {
    call.check_shutdown().ok()?;
    let host = call.helper(&self.history, &self.tried_hosts)?;
    self.history.attempts += 1;
    self.tried_hosts.push(host);
    Some(host)
  }

  /// Assigns the request to a target that was not attempted before.
  ///
  /// # Errors
  ///
  /// Fails when there is none; if an earlier attempt may have run the request, the refusal says
  /// so.
  pub async fn assign_next(&mut self, call: &Call) -> Result<Assignment, Refusal> {
    let assignment = self.assign(call).await?;
    self.record_assignment(&assignment);
    Ok(assignment)
  }

  /// Does the same without recording that the attempt is made.
  ///
  /// # Errors
  ///
  /// Fails as `assign_next` does.
  pub async fn assign(&self, call: &Call) -> Result<Assignment, Refusal> {
    if call.metadata.forwarded.is_some()
      && self.history.possible_runs == 0
      && call.gateway.has_doubtful_links(&call.service_name)
    {
      // The host that passed the request on finds another one.
      return Err(Refusal::not_run(Reason::CutOff).with_retry_after(Duration::ZERO));
    }
    call.assign(&self.tried_targets, Purpose::Start).await.map_err(|refusal| {
      if self.history.possible_runs > 0 {
        refusal.with_unknown_execution()
      } else {
        refusal
      }
    })
  }

  /// Has the request sent to other targets.
  pub fn avoid(&mut self, targets: impl IntoIterator<Item = Key>) {
    self.tried_targets.extend(targets);
  }

  /// Records that the request is sent to the target of an assignment.
  pub fn record_assignment(&mut self, assignment: &Assignment) {
    self.history.attempts += 1;
    self.tried_targets.push(assignment.key);
  }
}
