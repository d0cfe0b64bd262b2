use std::fmt;

/// A level of the settings tree, in order of increasing precedence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
  /// Values built into this release.
  BuiltIn,
  /// Overrides of the operator, for all requests.
  Operator,
  /// Overrides of a service.
  Service,
  /// Overrides of a data centre.
  DataCentre,
  /// Overrides of a client account.
  Account,
}

impl fmt::Display for Level {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str(match self {
      Self::Account => "client account",
      Self::BuiltIn => "built-in",
      Self::DataCentre => "data centre",
      Self::Operator => "operator",
      Self::Service => "service",
    })
  }
}
