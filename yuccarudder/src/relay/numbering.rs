/// Number of equal steps after which all steps of a stream count as equal.
const MIN_EQUAL_STEPS: u32 = 2;

/// How the ids of a stream rise from one event to the next.
///
/// Some targets number events, others the tokens in them, of which an event may have several.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Numbering {
  /// Number of steps so far that were equal.
  equal_steps: u32,
  /// Whether a step between two events of one run was seen.
  has_run_step: bool,
  is_uneven: bool,
  step: u64,
}

impl Numbering {
  /// Records the step between two events of one run.
  pub(super) fn record(&mut self, step: u64) {
    if self.step == step {
      self.equal_steps = self.equal_steps.saturating_add(1);
    } else if self.has_run_step {
      self.is_uneven = true;
    } else {
      self.step = step;
      self.equal_steps = 1;
    }
    self.has_run_step = true;
  }

  /// Records the step to the first event of a run, which may have fewer tokens than those that follow.
  pub(super) fn record_join(&mut self, step: u64) {
    if self.equal_steps == 0 {
      self.step = step;
    }
    if self.step == step {
      self.equal_steps = self.equal_steps.saturating_add(1);
    }
  }

  /// Returns the step if all of the stream were equal and there were enough of them.
  pub(super) fn fixed_step(&self) -> Option<u64> {
    (!self.is_uneven && self.equal_steps >= MIN_EQUAL_STEPS).then_some(self.step)
  }
}
