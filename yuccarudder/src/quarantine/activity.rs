use std::{
  collections::{HashMap, VecDeque},
  time::{Duration, Instant},
};

/// Shortest time between two answers that are kept.
const RESOLUTION: Duration = Duration::from_millis(100);
/// Maximum number of answers kept for a service.
const MAX_ANSWERS: usize = 128;
/// Maximum number of services.
const MAX_SERVICES: usize = 64;

/// When the targets of each service soundly answered requests of any kind.
#[derive(Clone, Debug, Default)]
pub struct Activity {
  services: HashMap<u64, Answers>,
}

/// When sound answers of one service began.
#[derive(Clone, Debug)]
struct Answers {
  latest: Instant,
  /// Earlier ones, in ascending order; a few in a second are kept.
  sampled: VecDeque<Instant>,
}

impl Activity {
  /// Returns when the first known sound answer of a service began that began after `at`.
  pub fn first_answer_after(&self, service: u64, at: Instant) -> Option<Instant> {
    let answers = self.services.get(&service)?;
    let times = answers.sampled.iter().copied().chain([answers.latest]);
    times.into_iter().find(|answer| *answer > at)
  }

  /// Records when a sound answer of a service began.
  pub fn record(&mut self, service: u64, began_at: Instant) {
    if !self.services.contains_key(&service) && self.services.len() >= MAX_SERVICES {
      return;
    }
    let answers = self.services.entry(service).or_insert_with(|| Answers {
      latest: began_at,
      sampled: VecDeque::new(),
    });
    answers.latest = answers.latest.max(began_at);
    if answers.sampled.back().is_some_and(|last| began_at < *last + RESOLUTION) {
      return;
    }
    if answers.sampled.len() >= MAX_ANSWERS {
      answers.sampled.pop_front();
    }
    answers.sampled.push_back(began_at);
  }
}
