/// Readiness of a host, which its heartbeats report it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
  /// It has no current catalog or target list, so callers are not sent to it. It serves the
  /// requests that still arrive as far as its catalog allows.
  Starting,
  /// Callers are sent to it.
  Ready,
  /// It is shutting down: callers are no longer sent to it, and it finishes its requests in flight and
  /// stops.
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
