use {
  super::Status,
  crate::{roster::Key, span},
  std::{
    collections::HashMap,
    mem,
    time::{Duration, Instant},
  },
};

/// Number of different targets that must fail without an answer of another one, if the service has as
/// many: the failure of one target says nothing about the links to the others.
const MIN_FAILED_TARGETS: usize = 2;
/// Time for which a target must have been silent if it could be connected to: a sound one may pause for
/// about a second, and one that is full answers late.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// The same if no target of the service has answered anything meanwhile, as a multiple of the longest
/// usual response time.
const SILENCE_FACTOR: u32 = 2;
/// Limits of that time; a lost packet delays an answer by about the lower one.
const MIN_SERVICE_SILENCE: Duration = Duration::from_millis(250);
const MAX_SERVICE_SILENCE: Duration = Duration::from_secs(3);
/// Share by which an answer brings the longest usual response time closer to its own, if that is shorter.
const SMOOTHING_FACTOR: f64 = 0.02;
/// Time after which a failure no longer counts; one that is not repeated may have ended.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of failed targets that are kept for a service.
const MAX_FAILED_TARGETS: usize = 8;
/// Interval at which targets are probed while the links are in doubt.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The same while targets can be connected to: they may be full, and a probe takes a place there.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of targets that are probed at once; the first probes of silent targets are as many, later ones
/// single.
const PROBED_TARGETS: usize = 2;
/// Maximum number of services that are observed; further ones count as sound.
const MAX_SERVICES: usize = 1024;

/// How an attempt at a target failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
  /// The connection was not established, or broke.
  Disconnected,
  /// Nothing arrived on the connection.
  Silent,
}

/// Targets of a service that are to be probed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
  /// Targets that failed; others tell more.
  pub failed: Vec<Key>,
  /// Whether targets did not answer, or could not be connected to.
  pub failure: Failure,
  /// Time without an answer after which the links count as lost, although one may still arrive.
  pub patience: Duration,
  /// The name of the service.
  pub service: String,
  /// How many of its targets.
  pub targets: usize,
}

/// The newest failed attempt at a target.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
  began_at: Instant,
  failure: Failure,
  key: Key,
}

/// The evidence about the links to the targets of one service.
#[derive(Clone, Debug, Default)]
struct Record {
  /// When the newest attempt began that a target answered.
  answered: Option<Instant>,
  failures: Vec<FailedAttempt>,
  /// When the last answer of any target arrived.
  last_answer: Option<Instant>,
  last_probe: Option<Instant>,
  /// When the links were last found again; attempts from before say nothing about response times.
  restored: Option<Instant>,
  status: Status,
  /// The longest usual response time: that of the slowest answer, which fades with later ones.
  usual_time: Option<Duration>,
}

impl Record {
  /// Learns how long targets usually take to answer.
  fn observe_time(&mut self, began_at: Instant, now: Instant) {
    if self.restored.is_some_and(|restored| began_at <= restored) || self.status == Status::Lost {
      return;
    }
    let time = now.saturating_duration_since(began_at);
    let usual_time = self.usual_time.unwrap_or_default();
    let faded = usual_time.mul_f64(1.0 - SMOOTHING_FACTOR) + time.mul_f64(SMOOTHING_FACTOR);
    self.usual_time = Some(time.max(faded));
  }

  /// Returns how long the whole service may be silent; `None` if it has never answered.
  fn patience(&self) -> Option<Duration> {
    let time = self.usual_time?.saturating_mul(SILENCE_FACTOR);
    Some(time.clamp(MIN_SERVICE_SILENCE, MAX_SERVICE_SILENCE))
  }

  /// Returns when the service has been silent for too long for an attempt that began at `began_at` and
  /// has no answer; `None` if that is unknown.
  fn silent_from(&self, began_at: Instant) -> Option<Instant> {
    let silent_since = self.last_answer.map_or(began_at, |at| at.max(began_at));
    Some(silent_since + self.patience()?)
  }

  fn is_silent_only(&self) -> bool {
    self.failures.iter().all(|failed| failed.failure == Failure::Silent)
  }
}

/// The links of a host to the targets of all services, judged by its own attempts.
///
/// An answer only refutes failures of attempts that began before the answered one: connections that
/// were open before the links were lost may live on. It ends the mere suspicion of silence, though.
#[derive(Clone, Debug, Default)]
pub struct Table {
  records: HashMap<String, Record>,
}

impl Table {
  /// Returns the status of the links to a service.
  pub fn status(&self, service: &str) -> Status {
    self.records.get(service).map_or(Status::Sound, |record| record.status)
  }

  /// Returns the services to which the links are lost.
  pub fn lost(&self) -> impl Iterator<Item = &str> {
    let lost = self.records.iter().filter(|(_, record)| record.status == Status::Lost);
    lost.map(|(service, _)| service.as_str())
  }

  /// Returns whether the links to any service are in doubt.
  pub fn has_doubts(&self) -> bool {
    self.records.values().any(|record| record.status.is_doubtful())
  }

  /// Returns the evidence about a service; `None` if too many are observed.
  fn record(&mut self, service: &str) -> Option<&mut Record> {
    if !self.records.contains_key(service) {
      if self.records.len() >= MAX_SERVICES {
        return None;
      }
      self.records.insert(service.to_owned(), Record::default());
    }
    self.records.get_mut(service)
  }

  /// Returns when an attempt, begun at `began_at`, that has no answer is to be recorded as silent: after
  /// `max_silence`, or earlier if no target of the service answers anything.
  pub fn silent_from(&self, service: &str, began_at: Instant, max_silence: Duration) -> Instant {
    let silent_from = self.records.get(service).and_then(|record| record.silent_from(began_at));
    let latest = span::after(began_at, max_silence);
    silent_from.map_or(latest, |at| at.min(latest))
  }

  /// Records that an attempt, begun at `began_at`, was answered by a target; returns the status of the
  /// links until now if they were in doubt and are not any more.
  pub fn record_answer(
    &mut self,
    service: &str,
    began_at: Instant,
    now: Instant,
  ) -> Option<Status> {
    let record = self.record(service)?;
    record.observe_time(began_at, now);
    record.answered = record.answered.max(Some(began_at));
    record.last_answer = record.last_answer.max(Some(now));
    record.failures.retain(|failed| failed.began_at > began_at);
    if record.status == Status::Suspected && record.is_silent_only() {
      // The silence has ended before the probes confirmed it.
      record.failures.clear();
    }
    if !record.failures.is_empty() {
      return None;
    }
    let previous = mem::take(&mut record.status);
    if previous == Status::Lost {
      record.restored = Some(now);
    }
    previous.is_doubtful().then_some(previous)
  }

  /// Records that an attempt at a target, begun at `began_at`, failed or has been silent for some time.
  ///
  /// `targets` is the number of targets of the service. Returns whether the links are newly in doubt.
  pub fn record_failure(
    &mut self,
    service: &str,
    key: Key,
    failure: Failure,
    began_at: Instant,
    targets: usize,
    now: Instant,
  ) -> bool {
    let Some(record) = self.record(service) else {
      return false;
    };
    if record.answered.is_some_and(|answered| answered >= began_at) {
      return false;
    }
    let age = |at: Instant| now.saturating_duration_since(at);
    let previous = record.failures.iter().find(|failed| failed.key == key);
    // The silence of a target lasts from the first attempt at it.
    let began_at = match previous {
      Some(previous) if failure == Failure::Silent && previous.failure == Failure::Silent => {
        previous.began_at
      }
      _ => began_at,
    };
    record
      .failures
      .retain(|failed| failed.key != key && age(failed.began_at) < FAILURE_RETENTION);
    if record.failures.len() >= MAX_FAILED_TARGETS {
      record.failures.remove(0);
    }
    record.failures.push(FailedAttempt {
      began_at,
      failure,
      key,
    });
    let disconnected =
      record.failures.iter().filter(|failed| failed.failure == Failure::Disconnected).count();
    let needed = MIN_FAILED_TARGETS.min(targets.max(1));
    let is_silent = || record.failures.iter().any(|failed| age(failed.began_at) >= MIN_SILENCE);
    // A probe refutes at once that the links are lost, if only one of several targets is silent.
    let is_service_silent = failure == Failure::Silent
      && targets >= MIN_FAILED_TARGETS
      && record.silent_from(began_at).is_some_and(|at| now >= at)
      && record.last_probe.is_none_or(|at| age(at) >= SILENT_PROBE_INTERVAL);
    let is_new = record.status == Status::Sound
      && (is_service_silent
        || record.failures.len() >= needed && (disconnected >= needed || is_silent()));
    if is_new {
      record.status = Status::Suspected;
    }
    is_new
  }

  /// Returns the probes that are due now.
  pub fn due_probes(&mut self, now: Instant) -> Vec<Probe> {
    let mut probes = Vec::new();
    for (service, record) in &mut self.records {
      let (failure, interval, patience) = if record.is_silent_only() {
        (
          Failure::Silent,
          SILENT_PROBE_INTERVAL,
          record.patience().unwrap_or(MIN_SILENCE),
        )
      } else {
        (Failure::Disconnected, PROBE_INTERVAL, MIN_SILENCE)
      };
      let targets = if failure == Failure::Silent && record.status == Status::Lost {
        1
      } else {
        PROBED_TARGETS
      };
      let is_due = record.last_probe.is_none_or(|at| now.saturating_duration_since(at) >= interval);
      if record.status.is_doubtful() && is_due {
        record.last_probe = Some(now);
        probes.push(Probe {
          failed: record.failures.iter().map(|failed| failed.key).collect(),
          failure,
          patience,
          service: service.clone(),
          targets,
        });
      }
    }
    probes
  }

  /// Records that none of the targets of a service answered the probes that began at `began_at`;
  /// returns whether the links are newly lost.
  pub fn record_failed_probes(&mut self, service: &str, began_at: Instant) -> bool {
    let Some(record) = self.records.get_mut(service) else {
      return false;
    };
    let is_refuted = record.answered.is_some_and(|answered| answered >= began_at);
    let is_new = record.status == Status::Suspected && !is_refuted;
    if is_new {
      record.status = Status::Lost;
    }
    is_new
  }

  /// Forgets the evidence about a service, when it has no targets any more.
  pub fn forget(&mut self, service: &str) {
    self.records.remove(service);
  }
}
