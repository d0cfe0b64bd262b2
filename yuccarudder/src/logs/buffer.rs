use std::{
  io::{self, Write},
  mem,
  sync::{Condvar, Mutex, MutexGuard, PoisonError},
  time::Duration,
};

/// Size beyond which lines are dropped when the reader is slow.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Delay before each write that no flush waits for, so that the lines added meanwhile are written together.
const BATCH_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct State {
  bytes: Vec<u8>,
  /// Number of lines dropped since the last write.
  dropped: u64,
  /// Whether a flush waits, so that lines are written without the delay.
  flushing: bool,
  /// Whether lines that were taken are not written yet.
  writing: bool,
}

/// A bounded buffer of log lines between the threads that log and the one that writes.
///
/// When it is full, lines are dropped, so that a reader that stalls never blocks a request.
#[derive(Debug, Default)]
pub struct Buffer {
  not_empty: Condvar,
  state: Mutex<State>,
  written: Condvar,
}

impl Buffer {
  /// Waits until all lines are written, for `timeout` at most.
  pub fn flush(&self, timeout: Duration) {
    let mut state = self.lock();
    let is_pending = |state: &mut State| !state.bytes.is_empty() || state.writing;
    state.flushing = true;
    self.not_empty.notify_all();
    drop(self.written.wait_timeout_while(state, timeout, is_pending));
    self.lock().flushing = false;
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Adds a line, or drops it if the buffer is full.
  pub fn push(&self, line: &[u8]) {
    let mut state = self.lock();
    if state.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
      state.dropped += 1;
      return;
    }
    let was_empty = state.bytes.is_empty();
    state.bytes.extend_from_slice(line);
    if was_empty {
      self.not_empty.notify_one();
    }
  }

  /// Takes the buffered lines and the number of lines dropped since the last call.
  pub fn take(&self) -> (Vec<u8>, u64) {
    let mut state = self.lock();
    (mem::take(&mut state.bytes), mem::take(&mut state.dropped))
  }

  /// Writes lines as they are added, until a write fails.
  ///
  /// # Errors
  ///
  /// Returns the error of the writer.
  pub fn write_to(&self, mut writer: impl Write) -> io::Result<()> {
    loop {
      let state = self
        .not_empty
        .wait_while(self.lock(), |state| state.bytes.is_empty())
        .unwrap_or_else(PoisonError::into_inner);
      let is_delayed = |state: &mut State| !state.flushing;
      drop(self.not_empty.wait_timeout_while(state, BATCH_DELAY, is_delayed));
      self.lock().writing = true;
      let (bytes, dropped) = self.take();
      let result =
        writer.write_all(&bytes).and_then(|()| write_dropped_count(&mut writer, dropped));
      self.lock().writing = false;
      self.written.notify_all();
      result?;
    }
  }
}

/// Writes a log line with the number of dropped lines, if there are any, and flushes.
fn write_dropped_count(writer: &mut impl Write, dropped: u64) -> io::Result<()> {
  if dropped > 0 {
    writeln!(
      writer,
      "{{\"target\":\"logs\",\"message\":\"Dropped lines because the log is read too slowly.\",\"kvs\":{{\"count\":{dropped}}}}}"
    )?;
  }
  writer.flush()
}
