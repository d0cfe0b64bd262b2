use super::Outcome;

/// Most targets that one request is tried at before any of them ran it.
const MAX_TRIES: u32 = 4;

/// What a request has behind it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct History {
  /// Whether the request may run again after it may have run.
  pub repeatable: bool,
  /// Targets that may have run it.
  pub possible_runs: u32,
  /// Most targets that may run it.
  pub max_runs: u32,
  /// Targets it was sent to.
  pub attempts: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
  /// Give the caller the target's own answer.
  ForwardAnswer,
  /// Tell the caller that it may have run.
  ReportUnknown,
  /// Tell the caller that it has not run.
  ReportNotRun,
  /// Send it again; `arrives` tells that the retry budget must allow it.
  Retry {
    /// Whether a target has seen the request before.
    needs_budget: bool,
  },
}

/// Decides what follows from an outcome.
pub fn decide(outcome: Outcome, history: &History) -> Decision {
  let tries_left = history.attempts < MAX_TRIES;
  let may_run =
    history.possible_runs == 0 || (history.repeatable && history.possible_runs < history.max_runs);
  let retry = tries_left && may_run;
  match outcome {
    Outcome::Failed if retry => Decision::Retry { needs_budget: true },
    Outcome::Failed => Decision::ForwardAnswer,
    Outcome::Lost if retry => Decision::Retry { needs_budget: true },
    Outcome::Lost => Decision::ReportUnknown,
    Outcome::NotRun if retry => Decision::Retry { needs_budget: true },
    Outcome::NotSent if retry => Decision::Retry {
      needs_budget: false,
    },
    Outcome::NotRun | Outcome::NotSent if history.possible_runs > 0 => Decision::ReportUnknown,
    Outcome::NotRun | Outcome::NotSent => Decision::ReportNotRun,
  }
}
