use {
  super::{call::Call, placed::Spot},
  crate::{
    attempt::{self, Decision, History, Outcome},
    metrics::Retry,
    refusal::{Reason, Refusal},
    roster::Key,
  },
  std::time::Duration,
};

const PREFIX: &str = "retrying";
/// When a target that refused may take work again.
const REFUSED_RETRY: Duration = Duration::from_millis(500);

impl Call {
  /// Returns what the caller is told after the last try.
  pub fn given_up(&self, state: &History, outcome: Outcome) -> Refusal {
    if state.possible_runs == 0 {
      let reason = match outcome {
        Outcome::NotSent => Reason::TargetsUnreachable,
        _ => Reason::TargetsBusy,
      };
      return Refusal::not_run(reason).with_retry_after(REFUSED_RETRY);
    }
    let reason = if self.left().is_zero() {
      Reason::DeadlinePassed
    } else {
      Reason::TargetLost
    };
    Refusal::unknown(reason)
  }

  /// Decides whether another try follows, and takes it from the retry budget.
  pub fn retries(&self, state: &History, outcome: Outcome) -> bool {
    let Decision::Retry { needs_budget } = attempt::decide(outcome, state) else {
      return false;
    };
    if self.left().is_zero() {
      return false;
    }
    let granted = !needs_budget || self.gateway.spend_repeat(&self.service);
    log::info!(
      target: PREFIX, id = self.id(), outcome = outcome.name(), tries = state.attempts, runs = state.possible_runs, granted;
      "Considered another try."
    );
    if granted {
      self.gateway.metrics.retry(match outcome {
        Outcome::Failed | Outcome::Lost => Retry::TargetLost,
        Outcome::NotRun => Retry::TargetRefused,
        Outcome::NotSent => Retry::Connect,
      });
    }
    granted
  }
}

/// The tries of one request.
pub struct Tries {
  /// What the request has behind it.
  pub state: History,
  tried: Vec<Key>,
}

impl Tries {
  /// Takes in how a try failed; returns whether another one follows.
  pub fn go_on(&mut self, call: &Call, outcome: Outcome) -> bool {
    self.state.possible_runs += u32::from(!outcome.is_not_run());
    call.retries(&self.state, outcome)
  }

  /// Starts without any try.
  pub fn new(repeatable: bool, max_runs: u32) -> Self {
    Self {
      state: History {
        repeatable,
        possible_runs: 0,
        max_runs,
        attempts: 0,
      },
      tried: Vec::new(),
    }
  }

  /// Takes a place at a target that was not tried.
  ///
  /// # Errors
  ///
  /// Refuses when there is none, with what is known of the tries before.
  pub async fn next(&mut self, call: &Call) -> Result<Spot, Refusal> {
    let spot = call.place(&self.tried).await.map_err(|refusal| {
      if self.state.possible_runs > 0 {
        refusal.weakened()
      } else {
        refusal
      }
    })?;
    self.state.attempts += 1;
    self.tried.push(spot.key);
    Ok(spot)
  }
}
