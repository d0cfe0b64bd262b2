use {
  serde::{Deserialize, Serialize},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
  tokio::sync::watch,
  yuccarudder::generation::Id,
};

/// Configuration of a stand-in engine.
#[derive(Clone, Copy, Debug)]
pub struct Config {
  /// Number of tokens that it decodes before its cold start is over.
  pub cold_start_tokens: u64,
  /// Largest number of generations in the running batch.
  pub max_running: usize,
  /// Memory capacity, in tokens.
  pub memory_tokens: u64,
  /// Number of steps to prefill a prompt, whatever its length.
  pub prefill_steps: u64,
  /// Smallest length of a generation, in tokens, unless its `max_tokens` is lower.
  pub min_tokens: u64,
  /// Whether the text of each token is the time at which it is sent.
  pub timestamps: bool,
  /// Duration of one decoding step.
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

/// Load report of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
  /// Whether the engine is still in its cold start.
  pub cold: bool,
  /// Largest number of concurrent generations during the cold start.
  pub cold_peak: usize,
  /// Random number that distinguishes successive engine processes at one address.
  pub incarnation: u64,
  /// Memory capacity, in tokens.
  pub memory: u64,
  /// Memory in use by running generations, in tokens.
  pub memory_used: u64,
  /// Number of preemptions since the start.
  pub preemptions: u64,
  /// Number of generations in the running batch.
  pub running: usize,
  /// Number of generations that wait for a place in the batch.
  pub waiting: usize,
}

/// Progress of a generation, as published to its readers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
  /// Whether no more tokens will be decoded.
  pub ended: bool,
  /// Whether the generation was cancelled.
  pub cancelled: bool,
  /// Number of the newest reader; the streams of earlier readers end.
  pub newest_reader: u64,
  /// Number of tokens decoded so far.
  pub tokens: u64,
}

#[derive(Debug)]
struct Generation {
  reader_timeout: Duration,
  length: u64,
  detached_at: Option<Instant>,
  prefill_steps_left: u64,
  priority: u64,
  progress: watch::Sender<Progress>,
  prompt_tokens: u64,
  running: bool,
  start_number: u64,
}

impl Generation {
  fn memory_tokens(&self) -> u64 {
    self.prompt_tokens + self.progress.borrow().tokens
  }
}

/// A generation to start.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
  /// Its ID.
  pub id: Id,
  /// How long it continues without a reader before it is cancelled.
  pub reader_timeout: Duration,
  /// Number of tokens to decode.
  pub length: u64,
  /// Its priority; larger values run first.
  pub priority: u64,
  /// Number of tokens in its prompt.
  pub prompt_tokens: u64,
}

/// All generations of one engine and its continuous-batching scheduler.
#[derive(Debug)]
pub struct Batch {
  cold_peak: usize,
  decoded_tokens: u64,
  generations: HashMap<Id, Generation>,
  incarnation: u64,
  preemptions: u64,
  start_count: u64,
  config: Config,
}

impl Batch {
  /// Attaches a reader to a generation and ends the streams of its earlier readers.
  ///
  /// Returns the progress and the number of prompt tokens, or `None` if the ID is unknown.
  pub fn attach(&mut self, id: Id) -> Option<(watch::Receiver<Progress>, u64)> {
    let generation = self.generations.get_mut(&id)?;
    generation.detached_at = None;
    generation.progress.send_modify(|progress| progress.newest_reader += 1);
    Some((generation.progress.subscribe(), generation.prompt_tokens))
  }

  /// Cancels a generation and returns whether its ID was known.
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

  /// Records that a reader has disconnected, unless a newer one has replaced it.
  pub fn detach(&mut self, id: Id, reader: u64, now: Instant) {
    if let Some(generation) = self.generations.get_mut(&id)
      && generation.progress.borrow().newest_reader == reader
    {
      generation.detached_at = Some(now);
    }
  }

  /// Returns the current load.
  pub fn load(&self) -> Load {
    let active =
      || self.generations.values().filter(|generation| !generation.progress.borrow().ended);
    let running = active().filter(|generation| generation.running);
    Load {
      cold: self.is_cold(),
      cold_peak: self.cold_peak,
      incarnation: self.incarnation,
      memory: self.config.memory_tokens,
      memory_used: running.clone().map(Generation::memory_tokens).sum(),
      preemptions: self.preemptions,
      running: running.count(),
      waiting: active().filter(|generation| !generation.running).count(),
    }
  }

  /// Builds an empty batch.
  pub fn new(config: Config) -> Self {
    Self {
      cold_peak: 0,
      decoded_tokens: 0,
      generations: HashMap::new(),
      incarnation: rand::random(),
      preemptions: 0,
      start_count: 0,
      config,
    }
  }

  /// Adds a generation to the waiting ones and returns false if its ID is already in use.
  pub fn start(&mut self, spec: Spec) -> bool {
    if self.generations.contains_key(&spec.id) {
      return false;
    }
    self.start_count += 1;
    let generation = Generation {
      reader_timeout: spec.reader_timeout,
      length: spec.length,
      detached_at: None,
      prefill_steps_left: self.config.prefill_steps,
      priority: spec.priority,
      progress: watch::Sender::default(),
      prompt_tokens: spec.prompt_tokens,
      running: false,
      start_number: self.start_count,
    };
    self.generations.insert(spec.id, generation);
    if self.is_cold() {
      let active =
        self.generations.values().filter(|generation| !generation.progress.borrow().ended);
      self.cold_peak = self.cold_peak.max(active.count());
    }
    true
  }

  fn is_cold(&self) -> bool {
    self.decoded_tokens < self.config.cold_start_tokens
  }

  /// Runs one step: a prefill step or one decoded token for each running generation.
  pub fn step(&mut self, now: Instant) {
    self.remove_expired(now);
    self.admit();
    self.preempt();
    for generation in self.generations.values_mut().filter(|generation| generation.running) {
      if generation.prefill_steps_left > 0 {
        generation.prefill_steps_left -= 1;
        continue;
      }
      let length = generation.length;
      generation.progress.send_if_modified(|progress| {
        if progress.ended {
          return false;
        }
        progress.tokens += 1;
        self.decoded_tokens += 1;
        progress.ended = progress.tokens >= length;
        true
      });
      if generation.progress.borrow().ended {
        generation.running = false;
      }
    }
  }

  fn admit(&mut self) {
    let running = self.generations.values().filter(|generation| generation.running);
    let mut memory_used: u64 = running.clone().map(Generation::memory_tokens).sum();
    let free_slots = self.config.max_running.saturating_sub(running.count());
    let mut waiting: Vec<&mut Generation> = self
      .generations
      .values_mut()
      .filter(|generation| !generation.running && !generation.progress.borrow().ended)
      .collect();
    waiting.sort_by_key(|generation| (u64::MAX - generation.priority, generation.start_number));
    for generation in waiting.into_iter().take(free_slots) {
      memory_used += generation.memory_tokens();
      if memory_used > self.config.memory_tokens {
        return;
      }
      generation.running = true;
    }
  }

  fn remove_expired(&mut self, now: Instant) {
    self.generations.retain(|_, generation| {
      let kept = generation.detached_at.is_none_or(|since| now < since + generation.reader_timeout);
      if !kept {
        generation.progress.send_modify(|progress| {
          progress.cancelled = true;
          progress.ended = true;
        });
      }
      kept
    });
  }

  /// Preempts running generations, those with the lowest priority and then the newest first, until
  /// the next token of each remaining one fits in memory.
  fn preempt(&mut self) {
    let config = self.config;
    let mut running: Vec<&mut Generation> =
      self.generations.values_mut().filter(|generation| generation.running).collect();
    let mut memory_used: u64 =
      running.iter().map(|generation| generation.memory_tokens() + 1).sum();
    running.sort_by_key(|generation| (generation.priority, u64::MAX - generation.start_number));
    for generation in running {
      if memory_used <= config.memory_tokens {
        return;
      }
      memory_used -= generation.memory_tokens() + 1;
      generation.running = false;
      generation.prefill_steps_left = config.prefill_steps;
      self.preemptions += 1;
    }
  }
}
