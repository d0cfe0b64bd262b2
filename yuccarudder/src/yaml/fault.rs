use std::fmt;

/// An error in a document: where it is, what was found and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
  /// Description of the allowed values.
  pub allowed: String,
  /// Description of the value found.
  pub found: String,
  /// Dotted path of the key; empty for the root of the document.
  pub key: String,
  /// Line in the source, counted from one.
  pub line: usize,
  /// Name of the document, such as its file name.
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
