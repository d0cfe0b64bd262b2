use {
  super::{Faults, batch::Progress, text},
  bytes::Bytes,
  std::sync::{Arc, Mutex, PoisonError},
  tokio::sync::watch,
  yuccarudder::generation::{Event, Id},
};

/// Event stream of one reader of a generation.
pub struct Stream {
  faults: Arc<Mutex<Faults>>,
  generation: Id,
  next_index: u64,
  progress: watch::Receiver<Progress>,
  prompt_tokens: Option<u64>,
  reader: u64,
  sent_tokens: u64,
  timestamps: bool,
}

impl Stream {
  /// Creates a stream that starts at a token index.
  pub fn new(
    generation: Id,
    first_index: u64,
    progress: watch::Receiver<Progress>,
    prompt_tokens: u64,
    faults: Arc<Mutex<Faults>>,
  ) -> Self {
    let reader = progress.borrow().newest_reader;
    Self {
      faults,
      generation,
      next_index: first_index,
      progress,
      prompt_tokens: Some(prompt_tokens),
      reader,
      sent_tokens: 0,
      timestamps: false,
    }
  }

  /// Sets whether the text of each token is the time at which it is sent.
  pub fn timestamps(mut self, timestamps: bool) -> Self {
    self.timestamps = timestamps;
    self
  }

  /// Waits for events and returns all that are ready, or `None` when the stream has ended.
  pub async fn next(&mut self) -> Option<Bytes> {
    let next_index = self.next_index;
    let reader = self.reader;
    let changed = self.progress.wait_for(|progress| {
      progress.tokens > next_index || progress.ended || progress.newest_reader != reader
    });
    let progress = *changed.await.ok()?;
    let finished = progress.ended && self.next_index > progress.tokens;
    if progress.cancelled || progress.newest_reader != self.reader || finished {
      return None;
    }
    let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = String::new();
    while self.next_index < progress.tokens {
      if faults.cut_after > 0 && self.sent_tokens >= faults.cut_after {
        return (!text.is_empty()).then(|| text.into());
      }
      text.push_str(&self.event(faults, None));
      self.sent_tokens += 1;
    }
    if progress.ended {
      text.push_str(&self.event(faults, Some("stop".into())));
    }
    Some(text.into())
  }

  fn event(&mut self, faults: Faults, finish_reason: Option<String>) -> String {
    let mut generation = self.generation;
    if faults.cross && self.sent_tokens % 3 == 2 {
      generation.0[0] ^= 0xff;
    }
    let text = match finish_reason {
      Some(_) => String::new(),
      None if self.timestamps => text::timestamp_ns().to_string(),
      None => text::token_text(generation, self.next_index),
    };
    let event = Event {
      finish_reason,
      generation,
      index: self.next_index,
      prompt_tokens: self.prompt_tokens.take(),
      text,
    };
    self.next_index += 1;
    let data = serde_json::to_string(&event).expect("an event is serializable");
    format!("data: {data}\n\n")
  }
}
