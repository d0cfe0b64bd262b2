use memchr::memchr2;

/// Finds the ends of events in the bytes of a stream, whose lines end with LF, CRLF or CR.
///
/// A CR that ends the bytes may be the first half of a CRLF. After a blank line it ends the event all the
/// same, since the stream may pause there, unless the line before ended with a CRLF.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Splitter {
  /// Whether the last event ended with a CR at the end of the bytes, whose LF may follow.
  has_open_pair: bool,
  /// Whether the last line ended with a CRLF.
  has_pairs: bool,
  /// Where the current line begins.
  line_start: usize,
  /// Number of bytes that were searched for the end of the current line.
  searched: usize,
}

impl Splitter {
  /// Returns where the next event ends, after its blank line. An LF that belongs to the end of the event
  /// before counts as an event of its own.
  pub(super) fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
    if self.has_open_pair {
      let next = bytes.get(self.line_start)?;
      self.has_open_pair = false;
      self.has_pairs = *next == b'\n';
      if self.has_pairs {
        return Some(self.begin_line(self.line_start + 1));
      }
    }
    loop {
      let Some(length) = memchr2(b'\r', b'\n', &bytes[self.searched..]) else {
        self.searched = bytes.len();
        return None;
      };
      let at = self.searched + length;
      let is_blank = at == self.line_start;
      let next = bytes.get(at + 1);
      let is_pair = bytes[at] == b'\r' && next == Some(&b'\n');
      if bytes[at] == b'\r' && next.is_none() {
        if !is_blank || self.has_pairs {
          self.searched = at;
          return None;
        }
        self.has_open_pair = true;
      }
      self.has_pairs = is_pair;
      let end = self.begin_line(at + 1 + usize::from(is_pair));
      if is_blank {
        return Some(end);
      }
    }
  }

  fn begin_line(&mut self, at: usize) -> usize {
    self.line_start = at;
    self.searched = at;
    at
  }

  /// Adapts to the removal of the first bytes, which are those of whole events.
  pub(super) fn remove(&mut self, length: usize) {
    self.line_start -= length;
    self.searched -= length;
  }
}
