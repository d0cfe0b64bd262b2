use {
  super::{call::Call, placed::Spot},
  crate::{
    attempt::{self, Outcome, State, Verdict},
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
  pub fn given_up(&self, state: &State, outcome: Outcome) -> Refusal {
    if state.runs == 0 {
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
  pub fn retries(&self, state: &State, outcome: Outcome) -> bool {
    let Verdict::Retry { arrives } = attempt::decide(outcome, state) else {
      return false;
    };
    if self.left().is_zero() {
      return false;
    }
    let granted = !arrives || self.gateway.spend_retry(&self.service);
    log::info!(
      target: PREFIX, id = self.id(), outcome = outcome.name(), tries = state.tries, runs = state.runs, granted;
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
  pub state: State,
  tried: Vec<Key>,
}

impl Tries {
  /// Takes in how a try failed; returns whether another one follows.
  pub fn go_on(&mut self, call: &Call, outcome: Outcome) -> bool {
    self.state.runs += u32::from(!outcome.is_not_run());
    call.retries(&self.state, outcome)
  }

  /// Starts without any try.
  pub fn new(repeatable: bool, runs_allowed: u32) -> Self {
    Self {
      state: State {
        repeatable,
        runs: 0,
        runs_allowed,
        tries: 0,
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
      if self.state.runs > 0 {
        refusal.weakened()
      } else {
        refusal
      }
    })?;
    self.state.tries += 1;
    self.tried.push(spot.key);
    Ok(spot)
  }
}
