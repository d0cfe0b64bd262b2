use {super::Key, crate::refusal::Reason, std::time::Instant};

/// One target that a job could be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
  /// Jobs that this host has in hand there.
  pub in_flight: u64,
  /// Its key.
  pub key: Key,
  /// Most jobs that this host may have in hand there.
  pub limit: u64,
  /// Earliest time of the next attempt after a failed connection.
  pub retry_at: Option<Instant>,
}

/// What a choice came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
  /// Every target is at its limit.
  Busy,
  /// The chosen target.
  Chosen(Key),
  /// No target takes new work.
  None,
  /// Every target with room is waiting out a failed connection.
  Unreachable,
}

impl Choice {
  /// Returns why a job gets no target; `tried` tells whether some were tried in vain.
  pub fn refusal_reason(self, tried: bool) -> Reason {
    match self {
      Self::Busy => Reason::TargetsBusy,
      Self::Chosen(_) | Self::None if !tried => Reason::NoTarget,
      Self::Chosen(_) | Self::None | Self::Unreachable => Reason::TargetsUnreachable,
    }
  }
}

/// Chooses the target with the fewest jobs in hand.
///
/// `random` breaks ties, so that hosts with the same view spread out. A target
/// whose connection failed is used again from its `retry_at`.
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
        // Each of the n tied candidates so far is kept with chance 1/n.
        if mix(random, ties).is_multiple_of(ties) {
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

/// Derives the `index`th draw from one random number (the finalizer of SplitMix64).
fn mix(random: u64, index: u64) -> u64 {
  let mut value = random.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
  value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
  value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
  value ^ (value >> 31)
}
