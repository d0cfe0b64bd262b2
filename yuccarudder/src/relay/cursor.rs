use {
  super::{numbering::Numbering, splitter::Splitter},
  bytes::{Bytes, BytesMut},
  std::fmt,
};

/// Maximum number of bytes up to the next event with an id, which is larger than any event that
/// targets send. A stream without event ends therefore fails instead of filling the memory, and
/// one of comments without end fails, too.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The reason why a stream cannot be relayed any further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
  /// A line is none of an event, so the bytes are not those of a stream.
  Malformed,
  /// The id of an event is not above that of the previous event, or too far above it at the beginning
  /// of another run.
  OutOfOrder {
    /// The id that was expected at the latest.
    expected: u64,
    /// The id that was received.
    found: u64,
  },
  /// The bytes since the last event with an id exceed the maximum size, so they are none that a
  /// target would send.
  TooLarge,
}

impl fmt::Display for Error {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Malformed => f.write_str("received a line that is none of an event"),
      Self::OutOfOrder { expected, found } => {
        write!(f, "received event {found} instead of event {expected}")
      }
      Self::TooLarge => f.write_str("an event, or what precedes it, exceeds the maximum size"),
    }
  }
}

/// The position in a stream of server-sent events.
///
/// It splits the bytes of a stream into complete events and checks that their ids rise. By how much is
/// up to the target, as it may number the tokens in its events.
/// When the stream continues with another run, the bytes of the new response are fed to the same
/// cursor, so that a repeated event is detected, and also a missing one if all steps between ids were
/// equal before.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
  last_event_id: Option<u64>,
  buffer: BytesMut,
  /// Number of bytes since the last event with an id.
  bytes_since_event: usize,
  event_count: u64,
  /// The id passed to `new`.
  first_event_id: Option<u64>,
  /// Whether an event without an id has followed the last one with an id.
  has_unnumbered_event: bool,
  /// Whether an event of the current run has had an id.
  has_run_event: bool,
  numbering: Numbering,
  splitter: Splitter,
}

impl Cursor {
  /// Returns the number of complete events so far; comments are none.
  pub fn event_count(&self) -> u64 {
    self.event_count
  }

  /// Returns the number of complete events so far with those that the caller has received in earlier
  /// responses, as far as known.
  pub fn total_event_count(&self) -> u64 {
    self.event_count.saturating_add(self.earlier_event_count())
  }

  /// Adds bytes to the buffer and removes and returns its complete events.
  ///
  /// # Errors
  ///
  /// Returns an error if an event is repeated, malformed or too large, or if one is known to be missing.
  pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
    self.buffer.extend_from_slice(bytes);
    self.bytes_since_event += bytes.len();
    let mut complete_len = 0;
    while let Some(end) = self.splitter.next_end(&self.buffer) {
      let event = &self.buffer[complete_len..end];
      if !has_fields_only(event) {
        return Err(Error::Malformed);
      }
      if let Some(id) = event_id(event) {
        self.advance(id)?;
        self.event_count += 1;
        self.bytes_since_event = self.buffer.len() - end;
      } else if has_data(event) {
        self.event_count += 1;
        self.has_unnumbered_event = true;
      }
      complete_len = end;
    }
    self.splitter.remove(complete_len);
    if self.bytes_since_event > MAX_EVENT_BYTES {
      return Err(Error::TooLarge);
    }
    Ok(self.buffer.split_to(complete_len).freeze())
  }

  /// Checks the id of the next event and advances to it.
  fn advance(&mut self, id: u64) -> Result<(), Error> {
    let last_id = self.last_event_id.unwrap_or(0);
    let step = id.saturating_sub(last_id);
    if step == 0 && self.last_event_id.is_some() {
      return Err(Error::OutOfOrder {
        expected: last_id.saturating_add(1),
        found: id,
      });
    }
    if self.has_run_event {
      self.numbering.record(step);
    } else {
      if let Some(fixed_step) = self.numbering.fixed_step()
        && step > fixed_step
      {
        return Err(Error::OutOfOrder {
          expected: last_id.saturating_add(fixed_step),
          found: id,
        });
      }
      self.numbering.record_join(step);
    }
    self.last_event_id = Some(id);
    self.has_unnumbered_event = false;
    self.has_run_event = true;
    Ok(())
  }

  /// Returns the number of events that the caller has received in earlier responses, estimated from
  /// the mean step between ids.
  pub fn earlier_event_count(&self) -> u64 {
    let first_id = self.first_event_id.unwrap_or(0);
    let steps = self.last_event_id.unwrap_or(0).saturating_sub(first_id);
    if steps == 0 {
      return first_id;
    }
    let count = u128::from(first_id) * u128::from(self.event_count) / u128::from(steps);
    u64::try_from(count).unwrap_or(u64::MAX)
  }

  /// Returns whether another run can continue after the last complete event.
  ///
  /// It can't if that has no id, since the other run would repeat it.
  pub fn is_resumable(&self) -> bool {
    !self.has_unnumbered_event
  }

  /// Returns the number of bytes of an incomplete event.
  pub fn partial_bytes(&self) -> usize {
    self.buffer.len()
  }

  /// Returns whether the buffer holds an incomplete event.
  pub fn has_partial_event(&self) -> bool {
    !self.buffer.is_empty()
  }

  /// Returns the id of the last complete event that had one, or else the id passed to `new`.
  pub fn last_event_id(&self) -> Option<u64> {
    self.last_event_id
  }

  /// Creates a cursor.
  ///
  /// `last_event_id` is the id of the last event that the caller has received in an earlier
  /// response.
  pub fn new(last_event_id: Option<u64>) -> Self {
    Self {
      first_event_id: last_event_id,
      last_event_id,
      ..Self::default()
    }
  }

  /// Discards an incomplete event before the bytes of another response are fed.
  pub fn discard_partial_event(&mut self) {
    self.bytes_since_event = 0;
    self.has_run_event = false;
    self.splitter = Splitter::default();
    self.buffer.clear();
  }

  /// Removes and returns an incomplete event.
  pub fn take_partial_event(&mut self) -> Bytes {
    self.bytes_since_event = 0;
    self.splitter = Splitter::default();
    self.buffer.split().freeze()
  }
}

/// Returns whether all lines of an event are comments or fields.
///
/// A CR inside an event whose lines end with LF may be part of its data.
fn has_fields_only(event: &[u8]) -> bool {
  let line_end = if event.contains(&b'\n') { b'\n' } else { b'\r' };
  event.split(|byte| *byte == line_end).all(is_field)
}

/// Returns whether a line of an event is a comment or a field. The names of fields are in lower case.
///
/// Text that a failing target writes into its stream is not.
fn is_field(line: &[u8]) -> bool {
  let line = line.strip_suffix(b"\r").unwrap_or(line);
  let is_name_byte =
    |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-';
  match memchr::memchr(b':', line) {
    Some(length) => line[..length].iter().all(is_name_byte),
    None => line.is_empty() || line == b"data",
  }
}

/// Returns the lines of an event; those that end with CRLF are followed by an empty one.
fn lines(event: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
  event.split(|byte| matches!(byte, b'\r' | b'\n'))
}

/// Returns the value of the last `id` field of an event, if it is a number.
fn event_id(event: &[u8]) -> Option<u64> {
  let id = lines(event).filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
  std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// Returns whether an event has data, so that it is more than a comment.
fn has_data(event: &[u8]) -> bool {
  lines(event).any(|line| {
    line.strip_prefix(b"data").is_some_and(|rest| matches!(rest.first(), None | Some(b':')))
  })
}
