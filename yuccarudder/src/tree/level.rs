use std::fmt;

/// A level of the settings tree, from the weakest to the strongest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
  /// The value built into this release.
  BuiltIn,
  /// The operator's own settings.
  Operator,
  /// One service.
  Service,
  /// One data centre.
  DataCentre,
  /// One client account.
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
