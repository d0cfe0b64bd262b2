use {
  super::{Faults, batch::Progress, text},
  bytes::Bytes,
  std::sync::{Arc, Mutex, PoisonError},
  tokio::sync::watch,
  yuccarudder::generation::{Event, Id},
};

/// One reader of a generation.
pub struct Stream {
  faults: Arc<Mutex<Faults>>,
  generation: Id,
  next: u64,
  progress: watch::Receiver<Progress>,
  prompt_tokens: Option<u64>,
  reader: u64,
  sent: u64,
  timestamps: bool,
}

impl Stream {
  /// Reads a generation from a token index.
  pub fn new(
    generation: Id,
    from: u64,
    progress: watch::Receiver<Progress>,
    prompt_tokens: u64,
    faults: Arc<Mutex<Faults>>,
  ) -> Self {
    let reader = progress.borrow().reader;
    Self {
      faults,
      generation,
      next: from,
      progress,
      prompt_tokens: Some(prompt_tokens),
      reader,
      sent: 0,
      timestamps: false,
    }
  }

  /// Makes the text of each token the time at which it is sent.
  pub fn timestamps(mut self, timestamps: bool) -> Self {
    self.timestamps = timestamps;
    self
  }

  /// Returns the events that are ready, or `None` when the stream is over.
  pub async fn next(&mut self) -> Option<Bytes> {
    let next = self.next;
    let reader = self.reader;
    let changed = self
      .progress
      .wait_for(|progress| progress.tokens > next || progress.ended || progress.reader != reader);
    let progress = *changed.await.ok()?;
    let over = progress.ended && self.next > progress.tokens;
    if progress.cancelled || progress.reader != self.reader || over {
      return None;
    }
    let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = String::new();
    while self.next < progress.tokens {
      if faults.cut_after > 0 && self.sent >= faults.cut_after {
        return (!text.is_empty()).then(|| text.into());
      }
      text.push_str(&self.event(faults, None));
      self.sent += 1;
    }
    if progress.ended {
      text.push_str(&self.event(faults, Some("stop".into())));
    }
    Some(text.into())
  }

  fn event(&mut self, faults: Faults, finish_reason: Option<String>) -> String {
    let mut generation = self.generation;
    if faults.cross && self.sent % 3 == 2 {
      generation.0[0] ^= 0xff;
    }
    let text = match finish_reason {
      Some(_) => String::new(),
      None if self.timestamps => text::stamp().to_string(),
      None => text::token(generation, self.next),
    };
    let event = Event {
      finish_reason,
      generation,
      index: self.next,
      prompt_tokens: self.prompt_tokens.take(),
      text,
    };
    self.next += 1;
    let data = serde_json::to_string(&event).expect("an event is serializable");
    format!("data: {data}\n\n")
  }
}
