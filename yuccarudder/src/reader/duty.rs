use {
  super::{Area, Mode, run::TARGETS_WAIT},
  std::time::Duration,
};

/// Hosts that follow the operator's documents: each of them proves that the catalog is
/// current, so that the age of the proof stays short when some are cut off.
const OPERATOR_READERS: usize = 5;
/// Age of the proof at which any host reads for itself.
const OLD_PROOF: Duration = Duration::from_millis(2500);
/// Longest pause between two tries of a reader to reach the platform.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Pause of a reader after its first try that did not reach the platform.
const MIN_BACKOFF: Duration = Duration::from_millis(80);
/// How often a host that does not read looks whether it has to.
const REST: Duration = Duration::from_millis(250);
/// Pauses between two questions of the hosts that follow the targets closely; they tell
/// the others of those that leave.
const TARGET_READERS: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(500)];
/// Time beyond the longest pause between two answers after which a reader takes the
/// platform for silent.
const SILENCE_MARGIN: Duration = Duration::from_millis(200);
/// Time for which a host passes on what another one told of a target that leaves.
const RELAY: Duration = Duration::from_secs(1);
/// Pause between two looks of all others at the targets.
const GLANCE: Duration = Duration::from_millis(1200);

/// How a host is placed among those that may read for the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Role {
  /// Hosts, with this one.
  pub hosts: usize,
  /// Live hosts that go before this one.
  pub rank: usize,
}

impl Role {
  /// Returns the pause after the first try that did not reach the platform; later ones are
  /// longer.
  pub fn first_backoff(&self) -> Duration {
    MIN_BACKOFF.mul_f64(self.crowd())
  }

  /// Returns how many hosts there are for each that reads for the others; 1 for those.
  fn crowd(&self) -> f64 {
    if self.rank < OPERATOR_READERS {
      return 1.0;
    }
    (self.hosts as f64 / OPERATOR_READERS as f64).max(1.0)
  }

  /// Returns the longest pause between two tries to reach the platform.
  ///
  /// All hosts try while it is away, so the more they are, the less often each does; those
  /// that read for the others go on as in a small fleet.
  pub fn longest_backoff(&self) -> Duration {
    MAX_BACKOFF.mul_f64(self.crowd())
  }

  /// Returns whether a host asks the engines themselves whether they leave: it reads the
  /// targets for the others, and the platform `failed` it or has been silent for longer than
  /// its answers take. It does not wait to hear that the others fail, too: hosts that look
  /// at the targets now and then notice late.
  pub fn polls_engines(&self, failed: bool, silence: Duration) -> bool {
    let Some(pause) = TARGET_READERS.get(self.rank) else {
      return false;
    };
    failed || silence >= TARGETS_WAIT + *pause + SILENCE_MARGIN
  }

  /// Returns for how long a host tells the others of a target that leaves: those that read
  /// the targets as long as it matters, the others once or twice, in case a pulse was lost.
  pub fn departure_relay_time(&self) -> Duration {
    if self.rank < TARGET_READERS.len() {
      Duration::MAX
    } else {
      RELAY
    }
  }

  /// Returns how a host follows an area.
  ///
  /// `proof` is the age of its proof that the catalog is current, and `listed` tells
  /// whether it has listed the targets.
  pub fn mode(&self, area: Area, proof: Option<Duration>, listed: bool) -> Mode {
    match area {
      Area::Operator if self.rank < OPERATOR_READERS => Mode::Watch(Duration::ZERO),
      Area::Operator if proof.is_some_and(|age| age < OLD_PROOF) => Mode::Idle(REST),
      Area::Operator => Mode::Watch(Duration::ZERO),
      Area::Targets => match TARGET_READERS.get(self.rank) {
        Some(pause) => Mode::Watch(*pause),
        None if listed => Mode::Poll(GLANCE),
        None => Mode::Watch(GLANCE),
      },
    }
  }
}
