use {
  super::{Buffer, RateLimiter},
  logforth::{Diagnostic, Error, Layout, append, record::Record},
  std::{
    io::Write,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
  },
};

/// Longest time that a flush at the end of the process waits for the last lines to be written: a
/// reader that stalls must not keep the process from exiting. It is a part of the time that a shutdown
/// leaves to the end of the process. Once the output is closed, buffered lines are discarded at
/// this interval.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits the rate of log lines and buffers them for a thread that writes them.
#[derive(Debug)]
pub struct Appender {
  buffer: Arc<Buffer>,
  rate_limiter: Mutex<RateLimiter>,
  layout: Box<dyn Layout>,
}

impl Appender {
  /// Creates the appender and starts its writer thread.
  pub fn new(layout: impl Into<Box<dyn Layout>>, output: impl Write + Send + 'static) -> Self {
    let buffer = Arc::<Buffer>::default();
    let thread_buffer = Arc::clone(&buffer);
    thread::spawn(move || {
      // The output is closed, so lines can only be discarded.
      if thread_buffer.write_to(output).is_err() {
        loop {
          thread::sleep(FLUSH_TIMEOUT);
          drop(thread_buffer.take());
        }
      }
    });
    Self {
      buffer,
      rate_limiter: Mutex::default(),
      layout: layout.into(),
    }
  }
}

impl append::Append for Appender {
  fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
    let mut rate_limiter = self.rate_limiter.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(dropped) = rate_limiter.admit(record.target(), Instant::now()) else {
      return Ok(());
    };
    drop(rate_limiter);
    if dropped > 0 {
      let target = record.target();
      let dropped_line = format!(
        "{{\"target\":\"logs\",\"message\":\"Dropped lines of a logger that exceeded its rate.\",\"kvs\":{{\"part\":\"{target}\",\"count\":{dropped}}}}}\n"
      );
      self.buffer.push(dropped_line.as_bytes());
    }
    let mut line = self.layout.format(record, diagnostics)?;
    line.push(b'\n');
    self.buffer.push(&line);
    Ok(())
  }

  fn flush(&self) -> Result<(), Error> {
    self.buffer.flush(FLUSH_TIMEOUT);
    Ok(())
  }
}
