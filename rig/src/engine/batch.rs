use {
  serde::{Deserialize, Serialize},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
  tokio::sync::watch,
  yuccarudder::generation::Id,
};

/// What an engine is like.
#[derive(Clone, Copy, Debug)]
pub struct Config {
  /// Tokens that it decodes before it is past its cold start.
  pub cold_start_tokens: u64,
  /// Most generations that decode together.
  pub max_running: usize,
  /// Tokens that fit in memory.
  pub memory_tokens: u64,
  /// Steps that a prompt of any length takes.
  pub prefill_steps: u64,
  /// Fewest tokens of a generation that is not cut by its own limit.
  pub min_tokens: u64,
  /// Whether the text of a token is the time at which it was sent.
  pub timestamps: bool,
  /// Time that one step takes.
  pub step: Duration,
}

impl Default for Config {
  fn default() -> Self {
    Self {
      cold_start_tokens: 0,
      max_running: 64,
      memory_tokens: 64_000,
      prefill_steps: 2,
      min_tokens: 1,
      timestamps: false,
      step: Duration::from_millis(5),
    }
  }
}

/// What an engine reports of its load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
  /// Whether it is in its cold start.
  pub cold: bool,
  /// Most generations that it had at a time in its cold start.
  pub cold_peak: usize,
  /// Distinguishes the processes that had the address.
  pub incarnation: u64,
  /// Tokens that fit in memory.
  pub memory: u64,
  /// Tokens in memory.
  pub memory_used: u64,
  /// Preemptions so far.
  pub preemptions: u64,
  /// Generations that decode.
  pub running: usize,
  /// Generations that wait.
  pub waiting: usize,
}

/// How far a generation is, as its readers see it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
  /// Whether no token will come any more.
  pub ended: bool,
  /// Whether it was cancelled.
  pub cancelled: bool,
  /// Names the newest reader; older ones end.
  pub reader: u64,
  /// Tokens so far.
  pub tokens: u64,
}

#[derive(Debug)]
struct Generation {
  keep: Duration,
  length: u64,
  orphaned: Option<Instant>,
  prefill: u64,
  priority: u64,
  progress: watch::Sender<Progress>,
  prompt_tokens: u64,
  running: bool,
  started: u64,
}

impl Generation {
  fn memory(&self) -> u64 {
    self.prompt_tokens + self.progress.borrow().tokens
  }
}

/// A generation to start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
  /// Its id.
  pub id: Id,
  /// How long it waits without a reader.
  pub keep: Duration,
  /// Tokens that it will have.
  pub length: u64,
  /// Its priority, larger first.
  pub priority: u64,
  /// Tokens of its prompt.
  pub prompt_tokens: u64,
}

/// The generations of one engine, advanced step by step.
#[derive(Debug)]
pub struct Batch {
  cold_peak: usize,
  decoded: u64,
  generations: HashMap<Id, Generation>,
  incarnation: u64,
  preemptions: u64,
  started: u64,
  config: Config,
}

impl Batch {
  /// Attaches a reader to a generation; earlier readers of it end.
  pub fn attach(&mut self, id: Id) -> Option<(watch::Receiver<Progress>, u64)> {
    let generation = self.generations.get_mut(&id)?;
    generation.orphaned = None;
    generation.progress.send_modify(|progress| progress.reader += 1);
    Some((generation.progress.subscribe(), generation.prompt_tokens))
  }

  /// Cancels a generation.
  pub fn cancel(&mut self, id: Id) -> bool {
    let Some(generation) = self.generations.remove(&id) else {
      return false;
    };
    generation.progress.send_modify(|progress| {
      progress.cancelled = true;
      progress.ended = true;
    });
    true
  }

  /// Records that a reader has left, unless a newer one came.
  pub fn detach(&mut self, id: Id, reader: u64, now: Instant) {
    if let Some(generation) = self.generations.get_mut(&id)
      && generation.progress.borrow().reader == reader
    {
      generation.orphaned = Some(now);
    }
  }

  /// Reports the load.
  pub fn load(&self) -> Load {
    let active = || self.generations.values().filter(|item| !item.progress.borrow().ended);
    let running = active().filter(|item| item.running);
    Load {
      cold: self.is_cold(),
      cold_peak: self.cold_peak,
      incarnation: self.incarnation,
      memory: self.config.memory_tokens,
      memory_used: running.clone().map(Generation::memory).sum(),
      preemptions: self.preemptions,
      running: running.count(),
      waiting: active().filter(|item| !item.running).count(),
    }
  }

  /// Builds an empty batch.
  pub fn new(config: Config) -> Self {
    Self {
      cold_peak: 0,
      decoded: 0,
      generations: HashMap::new(),
      incarnation: rand::random(),
      preemptions: 0,
      started: 0,
      config,
    }
  }

  /// Starts a generation, unless its id is in use.
  pub fn start(&mut self, start: Start) -> bool {
    if self.generations.contains_key(&start.id) {
      return false;
    }
    self.started += 1;
    let generation = Generation {
      keep: start.keep,
      length: start.length,
      orphaned: None,
      prefill: self.config.prefill_steps,
      priority: start.priority,
      progress: watch::Sender::default(),
      prompt_tokens: start.prompt_tokens,
      running: false,
      started: self.started,
    };
    self.generations.insert(start.id, generation);
    if self.is_cold() {
      let active = self.generations.values().filter(|item| !item.progress.borrow().ended);
      self.cold_peak = self.cold_peak.max(active.count());
    }
    true
  }

  fn is_cold(&self) -> bool {
    self.decoded < self.config.cold_start_tokens
  }

  /// Decodes one token of each running generation.
  pub fn step(&mut self, now: Instant) {
    self.drop_orphans(now);
    self.admit();
    self.preempt();
    for generation in self.generations.values_mut().filter(|item| item.running) {
      if generation.prefill > 0 {
        generation.prefill -= 1;
        continue;
      }
      let length = generation.length;
      generation.progress.send_if_modified(|progress| {
        if progress.ended {
          return false;
        }
        progress.tokens += 1;
        self.decoded += 1;
        progress.ended = progress.tokens >= length;
        true
      });
      if generation.progress.borrow().ended {
        generation.running = false;
      }
    }
  }

  fn admit(&mut self) {
    let running = self.generations.values().filter(|item| item.running);
    let mut used: u64 = running.clone().map(Generation::memory).sum();
    let room = self.config.max_running.saturating_sub(running.count());
    let mut waiting: Vec<&mut Generation> = self
      .generations
      .values_mut()
      .filter(|item| !item.running && !item.progress.borrow().ended)
      .collect();
    waiting.sort_by_key(|item| (u64::MAX - item.priority, item.started));
    for generation in waiting.into_iter().take(room) {
      used += generation.memory();
      if used > self.config.memory_tokens {
        return;
      }
      generation.running = true;
    }
  }

  fn drop_orphans(&mut self, now: Instant) {
    self.generations.retain(|_, generation| {
      let left = generation.orphaned.is_none_or(|since| now < since + generation.keep);
      if !left {
        generation.progress.send_modify(|progress| {
          progress.cancelled = true;
          progress.ended = true;
        });
      }
      left
    });
  }

  /// Takes the newest generations of the lowest priority out while memory is short.
  fn preempt(&mut self) {
    let config = self.config;
    let mut running: Vec<&mut Generation> =
      self.generations.values_mut().filter(|item| item.running).collect();
    let mut used: u64 = running.iter().map(|item| item.memory() + 1).sum();
    running.sort_by_key(|item| (item.priority, u64::MAX - item.started));
    for generation in running {
      if used <= config.memory_tokens {
        return;
      }
      used -= generation.memory() + 1;
      generation.running = false;
      generation.prefill = config.prefill_steps;
      self.preemptions += 1;
    }
  }
}
