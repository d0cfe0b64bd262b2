/// The readiness of a host, which it states in its heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
  /// It has no current catalog or target list, so it is not listed for callers. It serves requests
  /// that still arrive as far as its catalog allows.
  Starting,
  /// It is listed for callers.
  Ready,
  /// It is shutting down: it is no longer listed for callers, and it finishes its requests in
  /// flight.
  Leaving,
}

impl Phase {
  /// Converts the number in a heartbeat; an unknown number counts as `Starting`.
  pub fn from_number(number: u32) -> Self {
    match number {
      1 => Self::Ready,
      2 => Self::Leaving,
      _ => Self::Starting,
    }
  }

  /// Returns the number that stands for the phase in a heartbeat.
  pub fn number(self) -> u32 {
    match self {
      Self::Starting => 0,
      Self::Ready => 1,
      Self::Leaving => 2,
    }
  }
}
