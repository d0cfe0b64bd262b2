use {
  super::*,
  std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
  },
};

#[derive(Clone, Default)]
struct Sink {
  fails: bool,
  written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Sink {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    if self.fails {
      return Err(io::ErrorKind::BrokenPipe.into());
    }
    self.written.lock().unwrap().extend_from_slice(bytes);
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

#[test]
fn lines_reach_the_writer_before_a_flush_returns() {
  let backlog = Arc::new(Backlog::default());
  let sink = Sink::default();
  let (lines, writer) = (Arc::clone(&backlog), sink.clone());
  thread::spawn(move || lines.write_to(writer));
  backlog.push(b"one\n");
  backlog.push(b"two\n");
  backlog.flush(Duration::from_secs(60));
  assert_eq!(*sink.written.lock().unwrap(), b"one\ntwo\n");
}

#[test]
fn closed_pipe_ends_the_writer_only() {
  let backlog = Backlog::default();
  backlog.push(b"one\n");
  let sink = Sink {
    fails: true,
    ..Sink::default()
  };
  assert!(backlog.write_to(sink).is_err());
  backlog.push(b"two\n");
}

#[test]
fn lines_without_a_reader_are_dropped_and_counted() {
  let backlog = Backlog::default();
  let line = vec![b'x'; 64 << 10];
  for _ in 0..6 {
    backlog.push(&line);
  }
  let (bytes, dropped) = backlog.take();
  assert_eq!((bytes.len(), dropped), (256 << 10, 2));
}

#[test]
fn part_that_writes_too_much_is_cut_and_says_so() {
  let start = Instant::now();
  let mut budget = Budget::default();
  let written = (0..1000).filter(|_| budget.spend("loud", start).is_some()).count();
  assert_eq!(written, 400);
  assert_eq!(budget.spend("quiet", start), Some(0));
  assert_eq!(
    budget.spend("loud", start + Duration::from_secs(1)),
    Some(600)
  );
}
