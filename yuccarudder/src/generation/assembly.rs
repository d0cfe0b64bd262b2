use {
  super::{Event, Id},
  crate::refusal::{Reason, Refusal},
};

/// What happened on the way from the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
  /// An event arrived.
  Event(Event),
  /// The engine says that it has no such generation.
  Gone,
  /// The link broke or could not be opened.
  LinkLost,
  /// No event arrived in time.
  Stalled,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
  /// Hand the token to the caller.
  Deliver {
    /// Index of the token.
    index: u64,
    /// Its text.
    text: String,
  },
  /// The generation is whole.
  End {
    /// Why the engine ended it.
    finish_reason: String,
  },
  /// End the job with this refusal.
  Fail(Refusal),
  /// Do nothing.
  Ignore,
  /// Abandon this generation and run the job again under a new one.
  Rerun,
  /// Open a new link to the same generation from this index.
  Resume {
    /// Index of the next token.
    from: u64,
  },
}

/// How often a job may be tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
  /// Further generations.
  pub reruns: u64,
  /// Resumptions in a row without a new token.
  pub resumes: u64,
}

/// Puts the tokens of one generation in order, each once.
///
/// A caller who has seen a token never gets one of another generation.
#[derive(Clone, Debug)]
pub struct Assembly {
  generation: Id,
  limits: Limits,
  next: u64,
  reruns: u64,
  resumes: u64,
  streamed: bool,
}

impl Assembly {
  /// Takes in what happened and returns what to do next.
  pub fn apply(&mut self, input: Input) -> Step {
    match input {
      Input::Event(event) => self.event(event),
      Input::Gone => self.lost(Refusal::failed(Reason::GenerationLost)),
      Input::LinkLost | Input::Stalled => self.resume(),
    }
  }

  /// Continues a generation whose caller has seen all tokens before `next`.
  pub fn attach(generation: Id, next: u64, limits: Limits) -> Self {
    Self {
      generation,
      limits,
      next,
      reruns: limits.reruns,
      resumes: 0,
      streamed: true,
    }
  }

  fn event(&mut self, event: Event) -> Step {
    if event.generation != self.generation || event.index > self.next {
      return self.resume();
    }
    if let Some(finish_reason) = event.finish_reason {
      if event.index < self.next {
        return self.resume();
      }
      return Step::End { finish_reason };
    }
    if event.index < self.next {
      return Step::Ignore;
    }
    self.next += 1;
    self.resumes = 0;
    Step::Deliver {
      index: event.index,
      text: event.text,
    }
  }

  /// Returns the generation in hand.
  pub fn generation(&self) -> Id {
    self.generation
  }

  /// Returns whether an event is the next one of the generation in hand.
  pub fn is_next(&self, event: &Event) -> bool {
    event.generation == self.generation && event.index == self.next
  }

  fn lost(&mut self, refusal: Refusal) -> Step {
    let shown = self.streamed && self.next > 0;
    if shown || self.reruns >= self.limits.reruns {
      return Step::Fail(refusal);
    }
    self.reruns += 1;
    Step::Rerun
  }

  /// Starts a generation; `streamed` tells whether the caller sees tokens as they come.
  pub fn new(generation: Id, streamed: bool, limits: Limits) -> Self {
    Self {
      generation,
      limits,
      next: 0,
      reruns: 0,
      resumes: 0,
      streamed,
    }
  }

  /// Returns the number of tokens in order so far.
  pub fn next(&self) -> u64 {
    self.next
  }

  /// Replaces the generation after `Step::Rerun`.
  pub fn restart(&mut self, generation: Id) {
    self.generation = generation;
    self.next = 0;
    self.resumes = 0;
  }

  fn resume(&mut self) -> Step {
    if self.resumes >= self.limits.resumes {
      return self.lost(Refusal::unknown(Reason::GenerationLost));
    }
    self.resumes += 1;
    Step::Resume { from: self.next }
  }

  /// Returns the number of resumptions since the last new token.
  pub fn resumes(&self) -> u64 {
    self.resumes
  }
}
