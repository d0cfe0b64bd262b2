use {
  siphasher::sip::SipHasher13,
  std::{
    collections::{HashMap, VecDeque},
    hash::{Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// Maximum number of streams; the oldest ones are dropped.
const MAX_STREAMS: usize = 8192;
/// Maximum number of versions of services that are remembered.
const MAX_VERSIONS: usize = 256;
/// Longest time for which a caller may continue a stream, counted from its beginning. A host that does
/// not know the stream must know all versions that were in service for as long.
pub const STREAM_RETENTION: Duration = Duration::from_secs(300);

/// At which version a stream may be continued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
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
  /// For how long this host has known all versions in service, at some time; `None` before it has
  /// listed the targets.
  coverage: Option<(Duration, Instant)>,
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

  /// Decides at which version a stream of a service may be continued.
  ///
  /// `stream` is the key of the stream, if the caller named it. A stream that nobody knows began at the
  /// only version that has been in service for as long as streams last; a host that cannot know that
  /// does not guess.
  pub fn decide(&mut self, stream: Option<u64>, service: u64, now: Instant) -> Decision {
    if let Some(record) = stream.and_then(|stream| self.streams.get_mut(&stream))
      && now.saturating_duration_since(record.used_at) < STREAM_RETENTION
    {
      record.used_at = now;
      return Decision::Version(Arc::clone(&record.version));
    }
    if self.coverage(now).is_none_or(|coverage| coverage < STREAM_RETENTION) {
      return Decision::Unknown;
    }
    let versions = self.recent_versions(now).filter(|((of, _), _)| *of == service);
    match versions.collect::<Vec<_>>()[..] {
      [((_, version), _)] => Decision::Version(Arc::clone(version)),
      _ => Decision::Unknown,
    }
  }

  /// Returns for how long this host has known all versions in service, up to `STREAM_RETENTION`.
  pub fn coverage(&self, now: Instant) -> Option<Duration> {
    let (age, at) = self.coverage?;
    Some((age + now.saturating_duration_since(at)).min(STREAM_RETENTION))
  }

  /// Records that this host has known all versions in service for a time, on its own or from another
  /// host that told it all of them.
  pub fn extend_coverage(&mut self, coverage: Duration, now: Instant) {
    if self.coverage(now).is_none_or(|known| known < coverage) {
      self.coverage = Some((coverage, now));
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

  /// Records that a version of a service was in service at a time.
  pub fn record_version(&mut self, service: u64, version: &str, at: Instant, now: Instant) {
    let key = (service, Arc::from(version));
    if !self.versions.contains_key(&key) {
      let is_recent = |at: &Instant| now.saturating_duration_since(*at) < STREAM_RETENTION;
      self.versions.retain(|_, at| is_recent(at));
      if self.versions.len() >= MAX_VERSIONS {
        // Versions are missing from now on.
        self.coverage = None;
        return;
      }
    }
    let last_seen = self.versions.entry(key).or_insert(at);
    *last_seen = at.max(*last_seen);
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
