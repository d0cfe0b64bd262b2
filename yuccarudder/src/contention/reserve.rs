use {
  super::Room,
  std::time::{Duration, Instant},
};

/// Time over which departures of engines are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Departures with a shorter time between them belong to one group.
const GROUP_GAP: Duration = Duration::from_millis(800);
/// Number of groups of departures from which on engines count as leaving steadily.
const MIN_GROUPS: u32 = 2;

/// The room that is kept free at the engines that stay, for the runs of those that leave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reserve {
  /// KV cache tokens over all engines.
  tokens: u64,
}

impl Reserve {
  /// Returns the reserve, given when this host learned of each departure, the tokens that the runs on leaving
  /// engines still need elsewhere, and the mean number of tokens in use at an engine. It is zero unless engines
  /// leave steadily.
  pub fn new(
    departures: impl IntoIterator<Item = Instant>,
    leaving_tokens: u64,
    mean_use: u64,
    now: Instant,
  ) -> Self {
    let departures = departures.into_iter();
    let mut recent: Vec<Instant> =
      departures.filter(|at| now.saturating_duration_since(*at) <= WINDOW).collect();
    recent.sort_unstable();
    let gaps = recent.windows(2).filter(|pair| pair[1] - pair[0] >= GROUP_GAP).count();
    let groups = if recent.is_empty() {
      0
    } else {
      u32::try_from(gaps + 1).unwrap_or(u32::MAX)
    };
    if groups < MIN_GROUPS {
      return Self::default();
    }
    let next = recent.len() as f64 / f64::from(groups) * mean_use as f64;
    Self {
      tokens: leaving_tokens.saturating_add(next as u64),
    }
  }

  /// Returns whether nothing is kept free.
  pub fn is_empty(&self) -> bool {
    self.tokens == 0
  }

  /// Reserves tokens in the rooms, in proportion to their free tokens.
  pub fn set_aside(&self, rooms: &mut [Room]) {
    let free: f64 = rooms.iter().map(|room| room.free_tokens as f64).sum();
    let share = (self.tokens as f64 / free.max(1.0)).min(1.0);
    for room in rooms {
      room.reserved_tokens = (room.free_tokens as f64 * share).ceil() as u64;
    }
  }
}
