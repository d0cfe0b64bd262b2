use {
  super::{Area, Mode, run::TARGETS_WATCH_TIMEOUT},
  std::time::Duration,
};

/// Hosts that watch the operator's documents. Each of them confirms that the catalog is
/// current, so that the confirmation stays recent when some of them are isolated.
const OPERATOR_READERS: usize = 5;
/// Age of the confirmation at which any host watches the documents itself.
const MAX_CATALOG_AGE: Duration = Duration::from_millis(3200);
/// Longest pause between two attempts of a reader to reach the platform.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Pause of a reader after its first failed attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(80);
/// Pause after which a host that does not read checks again whether it has to.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Pauses between two watches of the targets, by rank of the hosts that watch them. These
/// hosts notify the others of targets that are leaving.
const TARGET_READER_PAUSES: [Duration; 2] =
  [Duration::from_millis(120), Duration::from_millis(500)];
/// Time beyond the longest regular gap between two responses after which a reader considers
/// the platform unresponsive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Time for which a host relays that a target is leaving after another host has reported it.
const RELAY_TIME: Duration = Duration::from_secs(1);
/// Pause between two lists of the targets on all other hosts while their targets differ from
/// those of a reader.
const POLL_PAUSE: Duration = Duration::from_millis(1200);
/// Time within which the readers have notified the other hosts of a changed target, unless their
/// heartbeats were lost.
const NEWS_DELAY: Duration = Duration::from_millis(1500);
/// Mean age at which another host of a small fleet lists the targets again although they match
/// those of a reader.
const LIST_AGE: Duration = Duration::from_secs(10);
/// Mean time between two such lists of all hosts together, so that their number does not grow with
/// the fleet.
const FLEET_LIST_INTERVAL: Duration = Duration::from_millis(300);

/// Part of the time for which a leaving target serves on that a host needs to list the targets and to stop
/// sending requests.
const REFRESH_TIME: Duration = Duration::from_millis(500);

/// Position of a host among those that may read the platform for the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Role {
  /// Number of hosts, including this one.
  pub hosts: usize,
  /// Number of live hosts that precede this one, whether or not they read the platform.
  pub order: usize,
  /// Number of live hosts that precede this one and read the platform.
  pub rank: usize,
}

/// Returns for how long a host may use its targets that were confirmed as those in service `age` ago (`None` if
/// never), if targets serve for `drain_time` after the platform's store lists that they leave.
pub fn targets_valid_for(drain_time: Duration, age: Option<Duration>) -> Duration {
  age.map_or(Duration::ZERO, |age| {
    drain_time.saturating_sub(REFRESH_TIME).saturating_sub(age)
  })
}

/// What a host knows of its own copy of the documents.
#[derive(Clone, Copy, Debug, Default)]
pub struct Copies {
  /// Time since its catalog was last confirmed as current.
  pub catalog_age: Option<Duration>,
  /// Time since it last listed the targets; `None` if it has not.
  pub targets_age: Option<Duration>,
  /// Time for which its targets have differed from those of all live hosts that read them for the
  /// others, or for which there is no such host; `None` if they match.
  pub targets_differ_for: Option<Duration>,
  /// Time for which its targets may still be used without being confirmed as those in service; zero if they
  /// have to be read.
  pub targets_valid_for: Duration,
}

impl Copies {
  /// Returns whether the targets differ for longer than the readers need to announce the change.
  fn have_missed_news(&self) -> bool {
    self.targets_differ_for.is_some_and(|time| time >= NEWS_DELAY)
  }
}

impl Role {
  /// Returns the pause after the first failed attempt to reach the platform; later pauses are
  /// longer.
  pub fn min_backoff(&self) -> Duration {
    MIN_BACKOFF.mul_f64(self.hosts_per_reader())
  }

  /// Returns the number of hosts per reader of the operator's documents; 1 on the hosts that read
  /// them unless their reads fail.
  fn hosts_per_reader(&self) -> f64 {
    if self.order < OPERATOR_READERS {
      return 1.0;
    }
    (self.hosts as f64 / OPERATOR_READERS as f64).max(1.0)
  }

  /// Returns the longest pause between two attempts to reach the platform.
  ///
  /// All hosts attempt it while the platform is unavailable, so a host of a larger fleet pauses
  /// longer. The readers pause as in a small fleet.
  pub fn max_backoff(&self) -> Duration {
    MAX_BACKOFF.mul_f64(self.hosts_per_reader())
  }

  /// Returns whether a host asks the engines directly whether they are leaving.
  ///
  /// It does if it is among the first hosts of the fleet, and its last request to the platform
  /// `failed` or the time `since_response` is longer than a watch and the pause after it take.
  /// It does not wait until other hosts fail to read the platform, too: those that only poll
  /// the targets notice it late.
  pub fn polls_engines(&self, failed: bool, since_response: Duration) -> bool {
    let Some(pause) = TARGET_READER_PAUSES.get(self.order) else {
      return false;
    };
    failed || since_response >= TARGETS_WATCH_TIMEOUT + *pause + RESPONSE_MARGIN
  }

  /// Returns for how long a host announces to the others that a target is leaving.
  ///
  /// The readers of the targets do it for as long as it is relevant. The others do it only for
  /// the next heartbeats, in case one of a reader was lost.
  pub fn departure_relay_time(&self) -> Duration {
    if self.reads_targets() {
      Duration::MAX
    } else {
      RELAY_TIME
    }
  }

  /// Returns whether the host reads the targets for the others.
  pub fn reads_targets(&self) -> bool {
    self.rank < TARGET_READER_PAUSES.len()
  }

  /// Returns the age at which a host lists the targets again although they match those of a reader.
  ///
  /// It differs between the hosts, so that those that started together do not list them together.
  fn max_list_age(&self) -> Duration {
    let hosts = u32::try_from(self.hosts.max(1)).unwrap_or(u32::MAX);
    let mean = LIST_AGE.max(FLEET_LIST_INTERVAL.saturating_mul(hosts));
    let position = self.order.min(self.hosts) as f64 / f64::from(hosts);
    mean.mul_f64(0.5 + position)
  }

  /// Returns how a host with the given copies of the documents reads an area.
  pub fn mode(&self, area: Area, copies: &Copies) -> Mode {
    match area {
      Area::Operator if self.rank < OPERATOR_READERS => Mode::Watch(Duration::ZERO),
      Area::Operator if copies.catalog_age.is_some_and(|age| age < MAX_CATALOG_AGE) => {
        Mode::Idle(IDLE_PAUSE)
      }
      Area::Operator => Mode::Watch(Duration::ZERO),
      Area::Targets => match TARGET_READER_PAUSES.get(self.rank) {
        Some(pause) => Mode::Watch(*pause),
        None => match copies.targets_age {
          None => Mode::Watch(POLL_PAUSE),
          Some(_) if copies.targets_valid_for.is_zero() => Mode::Refresh(IDLE_PAUSE),
          Some(age) if age < self.max_list_age() && !copies.have_missed_news() => {
            Mode::Idle(IDLE_PAUSE.min(copies.targets_valid_for))
          }
          Some(_) => Mode::Poll(POLL_PAUSE.min(copies.targets_valid_for)),
        },
      },
    }
  }
}
