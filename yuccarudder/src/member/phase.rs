/// What a host tells the others of its readiness.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
  /// It does not know enough to serve yet, or no more.
  Starting,
  /// It takes callers.
  Ready,
  /// It finishes what it has and ends.
  Leaving,
}

impl Phase {
  /// Reads the number sent to other hosts; one that is not known counts as starting.
  pub fn from_number(number: u32) -> Self {
    match number {
      1 => Self::Ready,
      2 => Self::Leaving,
      _ => Self::Starting,
    }
  }

  /// Returns the number sent to other hosts.
  pub fn number(self) -> u32 {
    match self {
      Self::Starting => 0,
      Self::Ready => 1,
      Self::Leaving => 2,
    }
  }
}
