use {
  super::{Backlog, Budget},
  logforth::{Diagnostic, Error, Layout, append, record::Record},
  std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
  },
};

/// Longest time that the end of the process waits for its last lines.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Hands log lines to a thread that writes them.
#[derive(Debug)]
pub struct Append {
  backlog: Arc<Backlog>,
  budget: Mutex<Budget>,
  layout: Box<dyn Layout>,
}

impl Append {
  /// Starts the thread that writes.
  pub fn new(layout: impl Into<Box<dyn Layout>>) -> Self {
    let backlog = Arc::<Backlog>::default();
    let lines = Arc::clone(&backlog);
    thread::spawn(move || {
      // Without a reader the lines are dropped as they come.
      if lines.write_to(io::stdout()).is_err() {
        loop {
          thread::sleep(LAST_LINES);
          drop(lines.take());
        }
      }
    });
    Self {
      backlog,
      budget: Mutex::default(),
      layout: layout.into(),
    }
  }
}

impl append::Append for Append {
  fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
    let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(dropped) = budget.spend(record.target(), Instant::now()) else {
      return Ok(());
    };
    drop(budget);
    if dropped > 0 {
      let target = record.target();
      let note = format!(
        "{{\"target\":\"logs\",\"message\":\"Lines of a part were dropped.\",\"kvs\":{{\"part\":\"{target}\",\"count\":{dropped}}}}}\n"
      );
      self.backlog.push(note.as_bytes());
    }
    let mut line = self.layout.format(record, diagnostics)?;
    line.push(b'\n');
    self.backlog.push(&line);
    Ok(())
  }

  fn flush(&self) -> Result<(), Error> {
    self.backlog.flush(LAST_LINES);
    Ok(())
  }
}
