use {super::Key, crate::refusal::Reason, std::time::Instant};

/// A target that a job could be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
  /// Number of jobs that this host has in flight at the target.
  pub in_flight: u64,
  /// Key of the target in the table.
  pub key: Key,
  /// Maximum number of jobs that this host may have in flight at the target; 0 while the target is
  /// skipped because it could not take more work.
  pub limit: u64,
  /// Earliest time of the next attempt after a failed connection.
  pub retry_at: Option<Instant>,
}

/// The result of target selection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
  /// Every target is at its limit.
  Busy,
  /// The selected target.
  Chosen(Key),
  /// No target takes new work.
  None,
  /// Every target below its limit is waiting to be retried after a failed connection.
  Unreachable,
}

impl Choice {
  /// Returns the reason for refusing a job that got no target.
  ///
  /// `tried` indicates whether the job has already failed at other targets.
  pub fn refusal_reason(self, tried: bool) -> Reason {
    match self {
      Self::Busy => Reason::TargetsBusy,
      Self::Chosen(_) | Self::None if !tried => Reason::NoTarget,
      Self::Chosen(_) | Self::None | Self::Unreachable => Reason::TargetsUnreachable,
    }
  }
}

/// Selects the target with the fewest jobs in flight.
///
/// `random` breaks ties, so that hosts in the same state spread their jobs. A target whose
/// connection failed is skipped until its `retry_at`.
pub fn choose(candidates: impl Iterator<Item = Candidate>, now: Instant, random: u64) -> Choice {
  let mut best: Option<Candidate> = None;
  let mut choice = Choice::None;
  let mut ties = 1;
  for candidate in candidates {
    if candidate.in_flight >= candidate.limit {
      if choice == Choice::None {
        choice = Choice::Busy;
      }
      continue;
    }
    if candidate.retry_at.is_some_and(|at| now < at) {
      choice = Choice::Unreachable;
      continue;
    }
    match best {
      Some(other) if other.in_flight < candidate.in_flight => {}
      Some(other) if other.in_flight == candidate.in_flight => {
        ties += 1;
        // Reservoir sampling: each of the n tied candidates so far is kept with probability
        // 1/n.
        if nth_draw(random, ties).is_multiple_of(ties) {
          best = Some(candidate);
        }
      }
      _ => {
        best = Some(candidate);
        ties = 1;
      }
    }
  }
  best.map_or(choice, |candidate| Choice::Chosen(candidate.key))
}

/// Derives the `index`th draw from one random number with the SplitMix64 generator.
fn nth_draw(random: u64, index: u64) -> u64 {
  let mut value = random.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
  value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
  value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
  value ^ (value >> 31)
}
