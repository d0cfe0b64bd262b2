use std::{
  io::{self, Write},
  mem,
  sync::{Condvar, Mutex, MutexGuard, PoisonError},
  time::Duration,
};

/// Bytes that may wait for a reader that is slow.
const MAX_BYTES: usize = 256 << 10;
/// Longest time that a line waits for others, so that they are written together.
const GATHER: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct State {
  bytes: Vec<u8>,
  dropped: u64,
  writing: bool,
}

/// Lines on their way to a reader, bounded so that a reader that does not read costs
/// lines and never service.
#[derive(Debug, Default)]
pub struct Backlog {
  filled: Condvar,
  state: Mutex<State>,
  written: Condvar,
}

impl Backlog {
  /// Waits until all lines are written, for a bounded time.
  pub fn flush(&self, longest: Duration) {
    let state = self.lock();
    let waiting = |state: &mut State| !state.bytes.is_empty() || state.writing;
    self.filled.notify_all();
    drop(self.written.wait_timeout_while(state, longest, waiting));
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Adds a line, or drops it when too many wait.
  pub fn push(&self, line: &[u8]) {
    let mut state = self.lock();
    if state.bytes.len() + line.len() > MAX_BYTES {
      state.dropped += 1;
      return;
    }
    let was_empty = state.bytes.is_empty();
    state.bytes.extend_from_slice(line);
    if was_empty {
      self.filled.notify_one();
    }
  }

  /// Takes the lines that wait, with the number of those that were dropped.
  pub fn take(&self) -> (Vec<u8>, u64) {
    let mut state = self.lock();
    (mem::take(&mut state.bytes), mem::take(&mut state.dropped))
  }

  /// Writes lines until the writer fails.
  ///
  /// # Errors
  ///
  /// Fails when the writer does.
  pub fn write_to(&self, mut writer: impl Write) -> io::Result<()> {
    loop {
      let state = self.lock();
      drop(self.filled.wait_while(state, |state| state.bytes.is_empty()));
      std::thread::sleep(GATHER);
      self.lock().writing = true;
      let (bytes, dropped) = self.take();
      let result = writer.write_all(&bytes).and_then(|()| note(&mut writer, dropped));
      self.lock().writing = false;
      self.written.notify_all();
      result?;
    }
  }
}

fn note(writer: &mut impl Write, dropped: u64) -> io::Result<()> {
  if dropped > 0 {
    writeln!(
      writer,
      "{{\"target\":\"logs\",\"message\":\"Lines were dropped.\",\"kvs\":{{\"count\":{dropped}}}}}"
    )?;
  }
  writer.flush()
}
