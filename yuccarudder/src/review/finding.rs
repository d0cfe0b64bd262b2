use std::fmt;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
  /// A difference from the version in force.
  Change,
  /// The catalog must not be published.
  Error,
  /// Something without effect, which may be intended.
  Warning,
}

impl Level {
  fn name(self) -> &'static str {
    match self {
      Self::Change => "change",
      Self::Error => "error",
      Self::Warning => "warning",
    }
  }
}

/// What a check found in a catalog. It never contains a credential.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
  /// How serious it is.
  pub level: Level,
  /// What it is, with the entry that it concerns.
  pub text: String,
}

impl Finding {
  /// Builds a finding that is a difference from the version in force.
  pub fn change(text: impl Into<String>) -> Self {
    Self {
      level: Level::Change,
      text: text.into(),
    }
  }

  /// Builds a finding for which the catalog must not be published.
  pub fn error(text: impl Into<String>) -> Self {
    Self {
      level: Level::Error,
      text: text.into(),
    }
  }

  /// Builds a finding that may be intended.
  pub fn warning(text: impl Into<String>) -> Self {
    Self {
      level: Level::Warning,
      text: text.into(),
    }
  }
}

impl fmt::Display for Finding {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(formatter, "{}: {}", self.level.name(), self.text)
  }
}
