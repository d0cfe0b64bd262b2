use std::fmt;

/// One fault in a document, with what was found and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
  /// What the key may hold.
  pub allowed: String,
  /// What the document holds.
  pub found: String,
  /// Dotted path of the key, empty for the document itself.
  pub key: String,
  /// Line in the source, counted from one.
  pub line: usize,
  /// Name of the source.
  pub source: String,
}

impl fmt::Display for Fault {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "{}:{}: ", self.source, self.line)?;
    if !self.key.is_empty() {
      write!(f, "{}: ", self.key)?;
    }
    write!(f, "found {}, allowed: {}", self.found, self.allowed)
  }
}

impl std::error::Error for Fault {}
