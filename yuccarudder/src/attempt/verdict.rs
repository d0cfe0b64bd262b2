use super::Outcome;

/// Most targets that one request is tried at before any of them ran it.
const MAX_TRIES: u32 = 4;

/// What a request has behind it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct State {
  /// Whether the request may run again after it may have run.
  pub repeatable: bool,
  /// Targets that may have run it.
  pub runs: u32,
  /// Most targets that may run it.
  pub runs_allowed: u32,
  /// Targets it was sent to.
  pub tries: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
  /// Give the caller the target's own answer.
  PassOn,
  /// Tell the caller that it may have run.
  Unknown,
  /// Tell the caller that it has not run.
  Refuse,
  /// Send it again; `arrives` tells that the retry budget must allow it.
  Retry {
    /// Whether a target has seen the request before.
    arrives: bool,
  },
}

/// Decides what follows from an outcome.
pub fn decide(outcome: Outcome, state: &State) -> Verdict {
  let tries_left = state.tries < MAX_TRIES;
  let may_run = state.runs == 0 || (state.repeatable && state.runs < state.runs_allowed);
  let retry = tries_left && may_run;
  match outcome {
    Outcome::Failed if retry => Verdict::Retry { arrives: true },
    Outcome::Failed => Verdict::PassOn,
    Outcome::Lost if retry => Verdict::Retry { arrives: true },
    Outcome::Lost => Verdict::Unknown,
    Outcome::NotRun if retry => Verdict::Retry { arrives: true },
    Outcome::NotSent if retry => Verdict::Retry { arrives: false },
    Outcome::NotRun | Outcome::NotSent if state.runs > 0 => Verdict::Unknown,
    Outcome::NotRun | Outcome::NotSent => Verdict::Refuse,
  }
}
