use {
  super::{Event, Id},
  crate::refusal::{Reason, Refusal},
};

/// An event that was received from an engine, or a failure to receive one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
  /// An event arrived.
  Event(Event),
  /// The engine does not know the generation.
  NotFound,
  /// The connection broke, could not be opened or carried a malformed event.
  ConnectionLost,
  /// No event arrived before the timeout.
  Stalled,
}

/// The next step of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
  /// Deliver the token to the caller.
  Deliver {
    /// Index of the token.
    index: u64,
    /// Text of the token.
    text: String,
  },
  /// End the job; the generation is complete.
  End {
    /// Reason that the engine gave for the end.
    finish_reason: String,
  },
  /// Fail the job with this refusal.
  Fail(Refusal),
  /// Do nothing.
  Ignore,
  /// Cancel the generation and run the job again under a new generation id.
  Rerun,
  /// Request the events of the same generation again, starting at `from`.
  Resume {
    /// Index of the next token.
    from: u64,
  },
}

/// Limits on recovery attempts for one job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
  /// Maximum number of further runs after the first one.
  pub reruns: u64,
  /// Maximum number of consecutive resumptions without a new token.
  pub resumes: u64,
}

/// A state machine that delivers each token of a generation once, in order.
///
/// Once a token has been sent to the caller, no token of another generation is delivered.
#[derive(Clone, Debug)]
pub struct Sequencer {
  generation: Id,
  limits: Limits,
  next_index: u64,
  reruns: u64,
  /// Number of resumptions since the last delivered token.
  consecutive_resumes: u64,
  /// Whether tokens are sent to the caller as they arrive.
  streamed: bool,
}

impl Sequencer {
  /// Updates the state and returns what to do next.
  pub fn apply(&mut self, input: Input) -> Action {
    match input {
      Input::Event(event) => self.handle_event(event),
      Input::NotFound => self.rerun_or_fail(Refusal::failed(Reason::GenerationLost)),
      Input::ConnectionLost | Input::Stalled => self.resume_or_rerun(),
    }
  }

  /// Creates a sequencer for an existing generation whose caller has received all tokens before
  /// `next_index`.
  pub fn resume_at(generation: Id, next_index: u64, limits: Limits) -> Self {
    Self {
      generation,
      limits,
      next_index,
      reruns: limits.reruns,
      consecutive_resumes: 0,
      streamed: true,
    }
  }

  fn handle_event(&mut self, event: Event) -> Action {
    if event.generation != self.generation || event.index > self.next_index {
      return self.resume_or_rerun();
    }
    if let Some(finish_reason) = event.finish_reason {
      if event.index < self.next_index {
        return self.resume_or_rerun();
      }
      return Action::End { finish_reason };
    }
    if event.index < self.next_index {
      return Action::Ignore;
    }
    self.next_index += 1;
    self.consecutive_resumes = 0;
    Action::Deliver {
      index: event.index,
      text: event.text,
    }
  }

  /// Returns the id of the current generation.
  pub fn generation(&self) -> Id {
    self.generation
  }

  /// Returns whether an event is the next one of the current generation.
  pub fn is_next(&self, event: &Event) -> bool {
    event.generation == self.generation && event.index == self.next_index
  }

  fn rerun_or_fail(&mut self, refusal: Refusal) -> Action {
    let delivered = self.streamed && self.next_index > 0;
    if delivered || self.reruns >= self.limits.reruns {
      return Action::Fail(refusal);
    }
    self.reruns += 1;
    Action::Rerun
  }

  /// Creates a sequencer for a new generation.
  ///
  /// `streamed` indicates whether tokens are sent to the caller as they arrive.
  pub fn new(generation: Id, streamed: bool, limits: Limits) -> Self {
    Self {
      generation,
      limits,
      next_index: 0,
      reruns: 0,
      consecutive_resumes: 0,
      streamed,
    }
  }

  /// Returns the index of the next token, which equals the number of tokens delivered so far,
  /// including those before the caller reattached.
  pub fn next_index(&self) -> u64 {
    self.next_index
  }

  /// Starts over with a new generation after `Action::Rerun`.
  pub fn restart(&mut self, generation: Id) {
    self.generation = generation;
    self.next_index = 0;
    self.consecutive_resumes = 0;
  }

  fn resume_or_rerun(&mut self) -> Action {
    if self.consecutive_resumes >= self.limits.resumes {
      return self.rerun_or_fail(Refusal::unknown(Reason::GenerationLost));
    }
    self.consecutive_resumes += 1;
    Action::Resume {
      from: self.next_index,
    }
  }

  /// Returns the number of resumptions since the last delivered token.
  pub fn consecutive_resumes(&self) -> u64 {
    self.consecutive_resumes
  }
}
