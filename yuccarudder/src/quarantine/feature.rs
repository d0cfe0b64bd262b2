use std::fmt;

/// What a request may have in common with other requests, and what targets may crash under.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Feature {
  /// Hash of the path, the client account and the body.
  Content(u64),
  /// ID of a prompt part that other requests may have as well.
  PromptPart(u64),
}

impl Feature {
  /// Returns whether the feature distinguishes a request and its repeats from all other requests.
  pub fn is_content(self) -> bool {
    matches!(self, Self::Content(_))
  }
}

impl fmt::Display for Feature {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Content(hash) => write!(f, "content:{hash:x}"),
      Self::PromptPart(id) => write!(f, "part:{id:x}"),
    }
  }
}
