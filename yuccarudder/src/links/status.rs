/// What a host knows of its links to the targets of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
  /// Targets answer, or nothing speaks against it.
  #[default]
  Sound,
  /// Attempts at several targets failed and none answered since; targets are being probed.
  Suspected,
  /// The probed targets did not answer either.
  Lost,
}

impl Status {
  /// Returns whether requests are better sent through another host.
  pub fn is_doubtful(self) -> bool {
    self != Self::Sound
  }
}
