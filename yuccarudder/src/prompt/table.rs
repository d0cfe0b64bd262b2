use {
  super::{Holding, Message, Prompt},
  hashlink::LruCache,
  std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
  },
};

/// Maximum number of targets whose parts are remembered.
const MAX_TARGETS: usize = 2048;
/// Maximum number of parts that a heartbeat tells.
pub const MAX_NEWS: usize = 64;
/// Maximum number of parts that wait to be told; beyond it the oldest are dropped.
const MAX_PENDING: usize = 4 * MAX_NEWS;

/// The prompt parts that each target holds, as far as known.
///
/// Targets are identified by the fingerprint of their process.
#[derive(Clone, Debug)]
pub struct Table {
  holdings: LruCache<u64, Holding>,
  /// Targets and the parts that they began to hold, which the other hosts have not been told yet.
  pending: VecDeque<(u64, u32)>,
}

impl Default for Table {
  fn default() -> Self {
    Self {
      holdings: LruCache::new(MAX_TARGETS),
      pending: VecDeque::new(),
    }
  }
}

impl Table {
  /// Records that a target processed a prompt of this host. `room` is the memory of the target that was not
  /// in use, in tokens.
  pub fn record(&mut self, target: u64, prompt: &Prompt<'_>, room: u64, now: Instant) {
    if prompt.leading().next().is_none() {
      self.take_in(target, prompt.tokens);
      return;
    }
    let holding = self.holdings.entry(target).or_insert_with(Holding::default);
    for (part, _) in prompt.leading().take(prompt.shared_count()) {
      if holding.probability(part, room, now) <= 0.0 && !self.pending.contains(&(target, part)) {
        self.pending.push_back((target, part));
      }
    }
    while self.pending.len() > MAX_PENDING {
      self.pending.pop_front();
    }
    // What is held already takes up no further memory.
    let held_tokens = holding.held_tokens(prompt, room, now);
    holding.take_in(prompt.tokens.saturating_sub(held_tokens));
    for (part, _) in prompt.leading() {
      holding.touch(part, now);
    }
  }

  /// Counts tokens that take up memory of a target.
  pub fn take_in(&mut self, target: u64, tokens: u64) {
    if let Some(holding) = self.holdings.peek_mut(&target) {
      holding.take_in(tokens);
    }
  }

  /// Returns the expected number of leading tokens of a prompt that a target holds. `room` is the memory of the
  /// target that is not in use, in tokens.
  pub fn held_tokens(&self, target: u64, prompt: &Prompt<'_>, room: u64, now: Instant) -> u64 {
    let holding = self.holdings.peek(&target);
    holding.map_or(0, |holding| holding.held_tokens(prompt, room, now))
  }

  /// Returns what the next heartbeat tells the other hosts.
  pub fn take_news(&mut self) -> Vec<Message> {
    let count = self.pending.len().min(MAX_NEWS);
    let mut news: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    for (target, part) in self.pending.drain(..count) {
      news.entry(target).or_default().push(part);
    }
    let message = |(target, parts)| Message { target, parts };
    news.into_iter().map(message).collect()
  }

  /// Records what the heartbeat of another host tells. What it tells need not be told by this host.
  pub fn merge(&mut self, news: &[Message], now: Instant) {
    let parts =
      news.iter().flat_map(|message| message.parts.iter().map(|part| (message.target, *part)));
    for (target, part) in parts.take(MAX_NEWS) {
      self.holdings.entry(target).or_insert_with(Holding::default).touch(part, now);
      self.pending.retain(|pending| *pending != (target, part));
    }
  }

  /// Returns whether nothing is known.
  pub fn is_empty(&self) -> bool {
    self.holdings.is_empty() && self.pending.is_empty()
  }

  /// Drops the targets for which `is_known` is false.
  pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
    self.holdings.retain(|target, _| is_known(*target));
    self.pending.retain(|(target, _)| is_known(*target));
  }

  /// Returns the numbers of targets and parts that are remembered.
  pub fn size(&self) -> (usize, usize) {
    (
      self.holdings.len(),
      self.holdings.iter().map(|(_, holding)| holding.len()).sum(),
    )
  }
}
