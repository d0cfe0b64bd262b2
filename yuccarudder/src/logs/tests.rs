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
  let buffer = Arc::new(Buffer::default());
  let sink = Sink::default();
  let (thread_buffer, writer) = (Arc::clone(&buffer), sink.clone());
  thread::spawn(move || thread_buffer.write_to(writer));
  buffer.push(b"one\n");
  buffer.push(b"two\n");
  buffer.flush(Duration::from_secs(60));
  assert_eq!(*sink.written.lock().unwrap(), b"one\ntwo\n");
}

#[test]
fn failed_write_ends_the_writer_but_not_logging() {
  let buffer = Buffer::default();
  buffer.push(b"one\n");
  let sink = Sink {
    fails: true,
    ..Sink::default()
  };
  assert!(buffer.write_to(sink).is_err());
  buffer.push(b"two\n");
}

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
  let buffer = Buffer::default();
  let line = vec![b'x'; 64 << 10];
  for _ in 0..6 {
    buffer.push(&line);
  }
  let (bytes, dropped) = buffer.take();
  assert_eq!((bytes.len(), dropped), (256 << 10, 2));
}

#[test]
fn lines_of_a_logger_beyond_its_rate_are_dropped_and_counted() {
  let start = Instant::now();
  let mut rate_limiter = RateLimiter::default();
  let written = (0..1000).filter(|_| rate_limiter.admit("loud", start).is_some()).count();
  assert_eq!(written, 400);
  assert_eq!(rate_limiter.admit("quiet", start), Some(0));
  assert_eq!(
    rate_limiter.admit("loud", start + Duration::from_secs(1)),
    Some(600)
  );
}
