use {
  siphasher::sip::SipHasher13,
  std::{
    collections::{HashMap, HashSet, VecDeque},
    hash::{Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// Maximum number of streams; the oldest ones are dropped.
const MAX_STREAMS: usize = 8192;
/// Maximum number of versions that other hosts reported.
const MAX_REPORTED_VERSIONS: usize = 256;
/// How long a stream is kept after its last use; callers wait less for a whole stream.
const STREAM_RETENTION: Duration = Duration::from_secs(300);
/// How long a version that another host reported counts as recently in service, as long as a roster
/// keeps removed targets.
const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// At which version a stream may be continued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
  /// No target of the service is known.
  NoTarget,
  /// Nobody knows which of several versions began the stream.
  Unknown,
  /// At this version only.
  Version(Arc<str>),
}

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
  /// Keys of `streams`, oldest first.
  order: VecDeque<u64>,
  /// When other hosts last reported a version of a service, given by the hash of its name.
  reported_versions: HashMap<(u64, Arc<str>), Instant>,
  streams: HashMap<u64, Record>,
}

impl Table {
  /// Returns the streams that this host announces, with the versions that began them.
  pub fn announced(&self, now: Instant) -> impl Iterator<Item = (u64, &Arc<str>)> {
    let is_announced = move |record: &Record| record.announced_until.is_some_and(|end| now < end);
    let streams = self.streams.iter().filter(move |(_, record)| is_announced(record));
    streams.map(|(key, record)| (*key, &record.version))
  }

  /// Decides at which version a stream may be continued.
  ///
  /// `stream` is the key of the stream, if the caller named it; `listed_versions` are the versions
  /// of the targets of the service that are in service or were until recently. A stream that nobody
  /// knows began at the only version there is.
  pub fn decide<'a>(
    &mut self,
    stream: Option<u64>,
    service: u64,
    listed_versions: impl Iterator<Item = &'a str>,
    now: Instant,
  ) -> Decision {
    if let Some(record) = stream.and_then(|stream| self.streams.get_mut(&stream))
      && now.saturating_duration_since(record.used_at) < STREAM_RETENTION
    {
      record.used_at = now;
      return Decision::Version(Arc::clone(&record.version));
    }
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < VERSION_RETENTION;
    let reported = self.reported_versions.iter().filter(|(_, at)| is_recent(at));
    let reported = reported.filter(|((of, _), _)| *of == service);
    let reported = reported.map(|((_, version), _)| version.as_ref());
    let mut versions: HashSet<&str> = listed_versions.collect();
    if versions.is_empty() {
      return Decision::NoTarget;
    }
    versions.extend(reported);
    match versions.into_iter().collect::<Vec<_>>()[..] {
      [version] => Decision::Version(version.into()),
      _ => Decision::Unknown,
    }
  }

  /// Records what another host announced: that a version began a stream.
  pub fn merge(&mut self, stream: u64, version: &str, now: Instant) {
    self.insert(stream, version, None, now);
  }

  /// Records that another host reported a version of a service that has several.
  pub fn merge_version(&mut self, service: u64, version: &str, now: Instant) {
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < VERSION_RETENTION;
    self.reported_versions.retain(|_, at| is_recent(at));
    if self.reported_versions.len() < MAX_REPORTED_VERSIONS {
      self.reported_versions.insert((service, version.into()), now);
    }
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
