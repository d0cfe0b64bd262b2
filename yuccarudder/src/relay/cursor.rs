use {
  bytes::{Bytes, BytesMut},
  memchr::memmem,
  std::fmt,
};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why the bytes of a stream cannot be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  /// An event does not follow the one before it.
  OutOfOrder {
    /// The event that was due.
    expected: u64,
    /// The event that came.
    found: u64,
  },
  /// An event is larger than any that is sent.
  TooLarge,
}

impl fmt::Display for Fault {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::OutOfOrder { expected, found } => {
        write!(f, "event {found} came where {expected} was due")
      }
      Self::TooLarge => f.write_str("an event is too large"),
    }
  }
}

/// Cuts the bytes of a stream into whole events and sees to their order.
///
/// A run that goes on elsewhere is fed to the same cursor, so that no event is missing
/// or comes twice.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
  last: Option<u64>,
  rest: BytesMut,
  seen: u64,
}

impl Cursor {
  /// Returns the number of whole events so far.
  pub fn event_count(&self) -> u64 {
    self.seen
  }

  /// Takes bytes and returns the whole events in them.
  ///
  /// # Errors
  ///
  /// Fails when an event is missing, repeated or too large.
  pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
    self.rest.extend_from_slice(bytes);
    let mut end = 0;
    while let Some(length) = memmem::find(&self.rest[end..], b"\n\n") {
      let event = &self.rest[end..end + length];
      if let Some(id) = event_id(event) {
        if let Some(last) = self.last
          && id != last + 1
        {
          return Err(Fault::OutOfOrder {
            expected: last + 1,
            found: id,
          });
        }
        self.last = Some(id);
        self.seen += 1;
      }
      end += length + 2;
    }
    if self.rest.len() - end > MAX_EVENT_BYTES {
      return Err(Fault::TooLarge);
    }
    Ok(self.rest.split_to(end).freeze())
  }

  /// Returns whether a part of an event is held back.
  pub fn has_partial_event(&self) -> bool {
    !self.rest.is_empty()
  }

  /// Returns the id of the last whole event.
  pub fn last_event_id(&self) -> Option<u64> {
    self.last
  }

  /// Starts after an event that the caller has seen of an earlier answer.
  pub fn new(last: Option<u64>) -> Self {
    Self {
      last,
      ..Self::default()
    }
  }

  /// Drops a part of an event before another run goes on.
  pub fn discard_partial_event(&mut self) {
    self.rest.clear();
  }

  /// Takes what follows the last whole event.
  pub fn take_partial_event(&mut self) -> Bytes {
    self.rest.split().freeze()
  }
}

fn event_id(event: &[u8]) -> Option<u64> {
  let lines = event.split(|byte| *byte == b'\n');
  let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
  std::str::from_utf8(id).ok()?.trim().parse().ok()
}
