use {
  super::Coverage,
  siphasher::sip::SipHasher13,
  std::{
    collections::{BTreeSet, HashMap, VecDeque},
    hash::{Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// Maximum number of streams; the oldest ones are dropped.
const MAX_STREAMS: usize = 8192;
/// Maximum number of versions of services that are remembered.
const MAX_VERSIONS: usize = 256;
/// Maximum number of times of which all versions are known, with gaps between them.
const MAX_COVERAGES: usize = 2;
/// Longest time for which a caller may continue a stream, counted from its beginning. A host that does
/// not know the stream must know all versions that were in service for as long.
pub const STREAM_RETENTION: Duration = Duration::from_secs(300);

/// At which version a stream may be continued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
  /// The only known version, if no other one was in service when the caller asked; this host has yet to
  /// learn that.
  Unconfirmed,
  /// It is not known which version began the stream.
  Unknown,
  /// At this version only.
  Version(Arc<str>),
}

/// A version of a service, given by the hash of its name.
pub type ServiceVersion = (u64, Arc<str>);

#[derive(Clone, Debug)]
struct Record {
  /// Until when this host announces the stream.
  announced_until: Option<Instant>,
  used_at: Instant,
  version: Arc<str>,
}

/// The versions that began streams, as far as a host knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
  /// Times of which this host knows all versions in service, earliest first; there may be a gap between
  /// them until another host tells which versions were in service then.
  coverages: Vec<Coverage>,
  /// The time of which this host knows all versions at which it began streams itself, whichever process it
  /// was; `None` if it has not begun to record them, or had no room for one. It lasts.
  memory: Option<Coverage>,
  /// Keys of `streams`, oldest first.
  order: VecDeque<u64>,
  streams: HashMap<u64, Record>,
  /// When each version of a service was last seen in service, by this host or another one.
  versions: HashMap<ServiceVersion, Instant>,
}

impl Table {
  /// Returns the streams that this host announces, with the versions that began them.
  pub fn announced(&self, now: Instant) -> impl Iterator<Item = (u64, &Arc<str>)> {
    let is_announced = move |record: &Record| record.announced_until.is_some_and(|end| now < end);
    let streams = self.streams.iter().filter(move |(_, record)| is_announced(record));
    streams.map(|(key, record)| (*key, &record.version))
  }

  /// Decides at which version a stream of one of some services may be continued, for which its caller asked at
  /// `asked_at`, a time since boot.
  ///
  /// `stream` is the key of the stream, if the caller named it. A stream that nobody knows began at the
  /// only version that has been in service for as long as streams last; a host that cannot know that
  /// does not guess. It can know that only for a time that has passed, so its knowledge has to reach up to
  /// when the caller asked.
  pub fn decide(
    &mut self,
    stream: Option<u64>,
    services: &[u64],
    asked_at: Duration,
    now: Instant,
  ) -> Decision {
    if let Some(record) = stream.and_then(|stream| self.streams.get_mut(&stream))
      && now.saturating_duration_since(record.used_at) < STREAM_RETENTION
    {
      record.used_at = now;
      return Decision::Version(Arc::clone(&record.version));
    }
    let reaches_back = |coverage: &Coverage| coverage.spans_retention(asked_at);
    if !self.coverages.iter().any(reaches_back) {
      return Decision::Unknown;
    }
    let is_confirmed = self.coverages.iter().any(|it| reaches_back(it) && it.until() >= asked_at);
    let versions = self.recent_versions(now).filter(|((of, _), _)| services.contains(of));
    let versions: BTreeSet<_> = versions.map(|((_, version), _)| version).collect();
    match (versions.len(), versions.first()) {
      (1, Some(version)) if is_confirmed => Decision::Version(Arc::clone(version)),
      (0 | 1, _) if !is_confirmed => Decision::Unconfirmed,
      _ => Decision::Unknown,
    }
  }

  /// Returns the latest time of which this host knows all versions in service; `None` before it has listed
  /// the targets.
  pub fn coverage(&self) -> Option<Coverage> {
    self.coverages.last().copied()
  }

  /// Returns the time of which this host knows all versions at which it began streams itself; it lasts.
  pub fn memory(&self) -> Option<Coverage> {
    self.memory
  }

  /// Begins to record versions. `memory` ends now, and began earlier if no stream began before.
  pub fn begin(&mut self, memory: Coverage) {
    self.memory = Some(memory);
  }

  /// Records that this host knows all versions that were in service in a time, on its own or from another
  /// host that told it all of them.
  pub fn extend_coverage(&mut self, coverage: Coverage) {
    let mut joined = coverage;
    self.coverages.retain(|known| match known.join(&joined) {
      Some(both) => {
        joined = both;
        false
      }
      None => true,
    });
    self.coverages.push(joined);
    self.coverages.sort_unstable_by_key(Coverage::until);
    if self.coverages.len() > MAX_COVERAGES {
      self.coverages.remove(0);
    }
    // An earlier process of this host may have begun streams, up to the beginning of this memory.
    self.memory = self.memory.map(|memory| memory.reaching_back(&joined));
  }

  /// Extends each time of which this host knows all versions to a later one; `stated_until` returns up to
  /// when all other hosts have told it the versions at which they began streams from a time on.
  pub fn confirm(&mut self, stated_until: impl Fn(Duration) -> Option<Duration>) {
    let Some(memory) = self.memory else {
      return;
    };
    for coverage in self.coverages.clone() {
      let until = stated_until(coverage.until()).filter(|until| *until > coverage.until());
      if let Some(until) = until.filter(|_| memory.begins_by(coverage.until())) {
        self.extend_coverage(coverage.extended(until));
      }
    }
  }

  fn recent_versions(&self, now: Instant) -> impl Iterator<Item = (&ServiceVersion, &Instant)> {
    let is_recent = move |at: &Instant| now.saturating_duration_since(*at) < STREAM_RETENTION;
    self.versions.iter().filter(move |(_, at)| is_recent(at))
  }

  /// Returns the versions of all services that were in service while streams last that may still be
  /// continued, with the time since then.
  pub fn versions(&self, now: Instant) -> Vec<(&ServiceVersion, Duration)> {
    let versions = self.recent_versions(now);
    versions.map(|(version, at)| (version, now.saturating_duration_since(*at))).collect()
  }

  /// Records what another host announced: that a version began a stream.
  pub fn merge(&mut self, stream: u64, version: &str, now: Instant) {
    self.insert(stream, version, None, now);
  }

  /// Records that a version of a service was in service at a time; returns whether there was room for it.
  pub fn record_version(&mut self, service: u64, version: &str, at: Instant, now: Instant) -> bool {
    let key = (service, Arc::from(version));
    if !self.versions.contains_key(&key) {
      let is_recent = |at: &Instant| now.saturating_duration_since(*at) < STREAM_RETENTION;
      self.versions.retain(|_, at| is_recent(at));
      if self.versions.len() >= MAX_VERSIONS {
        // Versions are missing from now on.
        self.coverages.clear();
        self.memory = None;
        return false;
      }
    }
    let last_seen = self.versions.entry(key).or_insert(at);
    *last_seen = at.max(*last_seen);
    true
  }

  /// Records that a version began a stream, or continues it, at this host, which announces it until
  /// `announced_until`.
  pub fn record(&mut self, stream: u64, version: &str, announced_until: Instant, now: Instant) {
    self.insert(stream, version, Some(announced_until), now);
  }

  fn insert(&mut self, stream: u64, version: &str, announced_until: Option<Instant>, now: Instant) {
    if let Some(record) = self.streams.get_mut(&stream) {
      record.announced_until = announced_until.or(record.announced_until);
      record.used_at = now;
      return;
    }
    while self.order.len() >= MAX_STREAMS {
      if let Some(oldest) = self.order.pop_front() {
        self.streams.remove(&oldest);
      }
    }
    self.order.push_back(stream);
    self.streams.insert(
      stream,
      Record {
        announced_until,
        used_at: now,
        version: version.into(),
      },
    );
  }
}

/// Returns the key of the stream that a request of a client account began.
pub fn stream_key(account: Option<&str>, request_id: &str) -> u64 {
  let mut hasher = SipHasher13::new();
  (account, request_id).hash(&mut hasher);
  hasher.finish()
}
