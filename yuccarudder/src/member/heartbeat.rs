use {
  crate::{
    contention, origin, pace, placement, prompt,
    quarantine::{self, Feature},
    reader, roster, share, span,
  },
  std::time::{Duration, Instant},
};

/// Largest age in a message; a larger one counts as this.
const MAX_AGE: Duration = Duration::from_secs(24 * 3600);

/// Protocol that this build speaks.
pub const PROTOCOL: u32 = 1;
/// Lowest protocol of hosts that pass over further values in what they are told of a request passed on.
const FURTHER_VALUES_PROTOCOL: u32 = 1;
/// Lowest protocol of hosts that know requests which other hosts pass on, and questions whether a target
/// listens.
const ASSISTING_PROTOCOL: u32 = 1;

/// The newest heartbeat of the recipient that the sender has received.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Echo {
  /// Time for which the sender has had it, in milliseconds; absent if the sender confirms no targets or its
  /// build does not state it.
  #[prost(uint64, optional, tag = "3")]
  pub held_ms: Option<u64>,
  /// Incarnation of the recipient, which identifies its process.
  #[prost(fixed64, tag = "1")]
  pub incarnation: u64,
  /// Sequence number of the heartbeat.
  #[prost(uint64, tag = "2")]
  pub sequence: u64,
}

/// A target that accepts no new requests.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Leaving {
  /// Era of the platform's store to which `revision` belongs.
  #[prost(uint64, tag = "4")]
  pub era: u64,
  /// Whether a response of the target stated it.
  #[prost(bool, tag = "5")]
  pub is_own_statement: bool,
  /// Time until the target stops, in milliseconds, if the sender knows it.
  #[prost(uint64, optional, tag = "3")]
  pub leaves_in_ms: Option<u64>,
  /// Revision of the platform's store that announced it.
  #[prost(uint64, tag = "1")]
  pub revision: u64,
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, tag = "2")]
  pub target: u64,
}

impl From<roster::Departure> for Leaving {
  fn from(departure: roster::Departure) -> Self {
    Self {
      era: departure.version.era,
      is_own_statement: departure.is_own_statement,
      leaves_in_ms: departure.leaves_in.map(span::milliseconds),
      revision: departure.version.revision,
      target: departure.fingerprint,
    }
  }
}

impl From<Leaving> for roster::Departure {
  fn from(leaving: Leaving) -> Self {
    Self {
      fingerprint: leaving.target,
      is_own_statement: leaving.is_own_statement,
      leaves_in: leaving.leaves_in_ms.map(Duration::from_millis),
      version: reader::Version::new(leaving.era, leaving.revision),
    }
  }
}

/// A target that came into service or whose entry changed, as a reader of the platform announces it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Announcement {
  /// Address at which it accepts requests.
  #[prost(string, tag = "1")]
  pub address: String,
  /// Its data centre.
  #[prost(string, tag = "2")]
  pub data_centre: String,
  /// Era of the platform's store to which `revision` belongs.
  #[prost(uint64, tag = "3")]
  pub era: u64,
  /// ID of its entry.
  #[prost(string, tag = "4")]
  pub id: String,
  /// Revision of the store at which its entry last changed.
  #[prost(uint64, tag = "5")]
  pub revision: u64,
  /// The service it belongs to.
  #[prost(string, tag = "6")]
  pub service: String,
  /// Number of requests that it runs concurrently.
  #[prost(uint32, tag = "7")]
  pub slots: u32,
  /// Start time of its process, in milliseconds since the Unix epoch.
  #[prost(uint64, optional, tag = "8")]
  pub started_ms: Option<u64>,
  /// Version of its software.
  #[prost(string, tag = "10")]
  pub version: String,
  /// Time until its cold start ends, in milliseconds; 0 when it is warm.
  #[prost(uint64, tag = "9")]
  pub warmup_remaining_ms: u64,
}

impl From<roster::Announcement> for Announcement {
  fn from(announcement: roster::Announcement) -> Self {
    let roster::Announcement {
      id,
      listing,
      version,
    } = announcement;
    let warmup_ms = listing.warmup_remaining.as_millis();
    Self {
      address: listing.address.to_string(),
      data_centre: listing.data_centre,
      era: version.era,
      id: id.as_ref().to_owned(),
      revision: version.revision,
      service: listing.service,
      slots: listing.slots,
      started_ms: listing.started_ms,
      version: listing.version,
      warmup_remaining_ms: u64::try_from(warmup_ms).unwrap_or(u64::MAX),
    }
  }
}

impl Announcement {
  /// Returns the announced target; `None` if its address is invalid.
  pub fn target(&self) -> Option<roster::Announcement> {
    Some(roster::Announcement {
      id: self.id.as_str().into(),
      listing: roster::Listing {
        address: self.address.parse().ok()?,
        started_ms: self.started_ms,
        data_centre: self.data_centre.clone(),
        service: self.service.clone(),
        slots: self.slots,
        state: roster::State::Available,
        version: self.version.clone(),
        warmup_remaining: Duration::from_millis(self.warmup_remaining_ms),
      },
      version: reader::Version::new(self.era, self.revision),
    })
  }
}

/// Load that the sender has placed on one target.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Load {
  /// Prompt tokens that are not prefilled yet.
  #[prost(uint64, tag = "1")]
  pub arriving: u64,
  /// Tokens whose KV cache is being copied to the target.
  #[prost(uint64, tag = "5")]
  pub copying: u64,
  /// KV cache in use now, in tokens.
  #[prost(uint64, tag = "6")]
  pub held: u64,
  /// Number of requests.
  #[prost(uint32, tag = "2")]
  pub runs: u32,
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, tag = "3")]
  pub target: u64,
  /// KV cache that the requests are expected to need when the memory use of the target peaks, in
  /// tokens.
  #[prost(uint64, tag = "4")]
  pub tokens: u64,
}

impl Load {
  /// Builds the message for the load on a target.
  pub fn new(target: u64, load: placement::Load) -> Self {
    Self {
      arriving: load.prefill_tokens,
      copying: load.transfer_tokens,
      held: load.used_tokens,
      runs: load.requests,
      target,
      tokens: load.expected_tokens,
    }
  }

  /// Returns the load without the target.
  pub fn load(&self) -> placement::Load {
    placement::Load {
      prefill_tokens: self.arriving,
      transfer_tokens: self.copying,
      used_tokens: self.held,
      requests: self.runs,
      expected_tokens: self.tokens,
    }
  }
}

/// A run that ended because its target crashed, as announced by the host that noticed it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Crash {
  /// Time since it was noticed, in milliseconds.
  #[prost(uint64, tag = "1")]
  pub age_ms: u64,
  /// Hash of the content of the request, unless it had been answered soundly.
  #[prost(fixed64, optional, tag = "4")]
  pub content: Option<u64>,
  /// Shared prompt parts of the request, unless it had been answered soundly.
  #[prost(fixed64, repeated, tag = "2")]
  pub prompt_parts: Vec<u64>,
  /// Time from when the request was sent until the crash was noticed, in milliseconds.
  #[prost(uint64, tag = "5")]
  pub run_ms: u64,
  /// Hash of the name of the target's service.
  #[prost(fixed64, tag = "6")]
  pub service: u64,
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, tag = "3")]
  pub target: u64,
}

impl Crash {
  /// Builds the message for a crash.
  pub fn new(crash: &quarantine::Crash, now: Instant) -> Self {
    let (content, prompt_parts) = split_features(&crash.features);
    Self {
      age_ms: age_ms(crash.at, now),
      content,
      prompt_parts,
      run_ms: age_ms(crash.sent_at, crash.at),
      service: crash.service,
      target: crash.target,
    }
  }

  /// Returns the crash, with its times on this host's clock.
  pub fn crash(&self, now: Instant) -> quarantine::Crash {
    let at = time_before(self.age_ms, now);
    quarantine::Crash {
      at,
      features: join_features(self.content, &self.prompt_parts),
      sent_at: time_before(self.run_ms, at),
      service: self.service,
      target: self.target,
    }
  }
}

/// Features of requests that are kept away from the targets.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Ban {
  /// Hash of the banned content, if there is one.
  #[prost(fixed64, optional, tag = "5")]
  pub content: Option<u64>,
  /// Number of targets that crashed.
  #[prost(uint32, tag = "1")]
  pub crashes: u32,
  /// Time since the first crash, in milliseconds.
  #[prost(uint64, tag = "2")]
  pub first_crash_age_ms: u64,
  /// Whether features of other requests explain the crashes as well.
  #[prost(bool, tag = "6")]
  pub is_uncertain: bool,
  /// Time since the last crash, in milliseconds.
  #[prost(uint64, tag = "3")]
  pub last_crash_age_ms: u64,
  /// The banned prompt parts; a request is refused if it has all of them and the content.
  #[prost(fixed64, repeated, tag = "4")]
  pub prompt_parts: Vec<u64>,
}

impl Ban {
  /// Builds the message for a ban.
  pub fn new(ban: &quarantine::Ban, now: Instant) -> Self {
    let (content, prompt_parts) = split_features(&ban.features);
    Self {
      content,
      crashes: ban.crashes,
      first_crash_age_ms: age_ms(ban.first_crash, now),
      is_uncertain: ban.is_uncertain,
      last_crash_age_ms: age_ms(ban.last_crash, now),
      prompt_parts,
    }
  }

  /// Returns the ban, with its times on this host's clock.
  pub fn ban(&self, now: Instant) -> quarantine::Ban {
    quarantine::Ban {
      crashes: self.crashes,
      features: join_features(self.content, &self.prompt_parts),
      first_crash: time_before(self.first_crash_age_ms, now),
      is_uncertain: self.is_uncertain,
      last_crash: time_before(self.last_crash_age_ms, now),
    }
  }
}

/// Splits the features of a request into its content and its prompt parts.
fn split_features(features: &[Feature]) -> (Option<u64>, Vec<u64>) {
  let mut content = None;
  let mut prompt_parts = Vec::new();
  for feature in features {
    match feature {
      Feature::Content(hash) => content = Some(*hash),
      Feature::PromptPart(id) => prompt_parts.push(*id),
    }
  }
  (content, prompt_parts)
}

fn join_features(content: Option<u64>, prompt_parts: &[u64]) -> Vec<Feature> {
  let prompt_parts = prompt_parts.iter().copied().map(Feature::PromptPart);
  content.map(Feature::Content).into_iter().chain(prompt_parts).collect()
}

/// What a target said to the sender about the requests per second that it takes from all hosts
/// together.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Limit {
  /// Time since the target said it, in milliseconds.
  #[prost(uint64, tag = "1")]
  pub age_ms: u64,
  /// Requests per second; absent if the target names no limit any more.
  #[prost(double, optional, tag = "2")]
  pub rate: Option<f64>,
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, tag = "3")]
  pub target: u64,
}

impl Limit {
  /// Builds the message for a statement of a target.
  pub fn new(target: u64, statement: placement::LimitStatement, now: Instant) -> Self {
    Self {
      age_ms: age_ms(statement.at, now),
      rate: statement.rate,
      target,
    }
  }

  /// Returns the statement, with its time on this host's clock.
  pub fn statement(&self, now: Instant) -> placement::LimitStatement {
    placement::LimitStatement {
      at: time_before(self.age_ms, now),
      rate: self.rate.filter(|rate| rate.is_finite() && *rate >= 0.0),
    }
  }
}

/// What a target of a service said to the sender about rejections for want of room.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Brittle {
  /// Time since the target said it, in milliseconds.
  #[prost(uint64, tag = "1")]
  pub age_ms: u64,
  /// Hash of the name of the service.
  #[prost(fixed64, tag = "2")]
  pub service: u64,
  /// Rejections per second that each target bears; absent if it names no number any more.
  #[prost(double, optional, tag = "3")]
  pub tolerance: Option<f64>,
}

impl Brittle {
  /// Builds the message for a statement of a target.
  pub fn new(service: u64, statement: placement::BrittleStatement, now: Instant) -> Self {
    Self {
      age_ms: age_ms(statement.at, now),
      service,
      tolerance: statement.tolerance,
    }
  }

  /// Returns the statement, with its time on this host's clock.
  pub fn statement(&self, now: Instant) -> placement::BrittleStatement {
    placement::BrittleStatement {
      at: time_before(self.age_ms, now),
      tolerance: self.tolerance.filter(|tolerance| tolerance.is_finite() && *tolerance >= 0.0),
    }
  }
}

/// What the sender found of the number of requests that a target takes at the same time.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Room {
  /// Fingerprint of the target, which identifies its process.
  #[prost(fixed64, tag = "1")]
  pub target: u64,
  /// Largest number of requests that the target took; absent if unknown.
  #[prost(uint32, optional, tag = "2")]
  pub taken: Option<u32>,
  /// Time since then, in milliseconds.
  #[prost(uint64, tag = "3")]
  pub taken_age_ms: u64,
  /// Last number of requests that proved to be too many; absent if none did.
  #[prost(uint32, optional, tag = "4")]
  pub exceeded: Option<u32>,
  /// Time since then, in milliseconds.
  #[prost(uint64, tag = "5")]
  pub exceeded_age_ms: u64,
}

impl Room {
  /// Builds the message for the room at a target.
  pub fn new(target: u64, room: &placement::Room, now: Instant) -> Self {
    let age = |sighting: Option<placement::Sighting>| {
      sighting.map_or(0, |sighting| age_ms(sighting.at, now))
    };
    Self {
      target,
      taken: room.taken().map(|taken| taken.places),
      taken_age_ms: age(room.taken()),
      exceeded: room.exceeded().map(|exceeded| exceeded.places),
      exceeded_age_ms: age(room.exceeded()),
    }
  }

  /// Returns the room, with its times on this host's clock.
  pub fn room(&self, now: Instant) -> placement::Room {
    let sighting = |places: u32, age_ms| placement::Sighting {
      at: time_before(age_ms, now),
      places,
    };
    let mut room = placement::Room::default();
    if let Some(places) = self.exceeded {
      room.record_exceeded(sighting(places, self.exceeded_age_ms));
    }
    if let Some(places) = self.taken {
      room.record_taken(sighting(places, self.taken_age_ms));
    }
    room
  }
}

/// The last sound answer of the sender to a request with a feature that is suspected of crashing
/// targets.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Sound {
  /// Time since the answer began, in milliseconds.
  #[prost(uint64, tag = "1")]
  pub age_ms: u64,
  /// The hash of the content or the ID of the prompt part.
  #[prost(fixed64, tag = "2")]
  pub feature: u64,
  /// Whether the feature is a content.
  #[prost(bool, tag = "3")]
  pub is_content: bool,
}

impl Sound {
  /// Builds the message for a sound answer.
  pub fn new(sound: quarantine::Sound, now: Instant) -> Self {
    let (Feature::Content(feature) | Feature::PromptPart(feature)) = sound.feature;
    Self {
      age_ms: age_ms(sound.began_at, now),
      feature,
      is_content: sound.feature.is_content(),
    }
  }

  /// Returns the sound answer, with its time on this host's clock.
  pub fn sound(&self, now: Instant) -> quarantine::Sound {
    quarantine::Sound {
      began_at: time_before(self.age_ms, now),
      feature: if self.is_content {
        Feature::Content(self.feature)
      } else {
        Feature::PromptPart(self.feature)
      },
    }
  }
}

/// Returns the time since `at` in whole milliseconds, rounded up.
fn age_ms(at: Instant, now: Instant) -> u64 {
  let age = now.saturating_duration_since(at);
  u64::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

/// Returns the time `age_ms` before `now`.
fn time_before(age_ms: u64, now: Instant) -> Instant {
  now.checked_sub(Duration::from_millis(age_ms).min(MAX_AGE)).unwrap_or(now)
}

/// Streams that the sender began or continued recently.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Origin {
  /// Keys of the streams.
  #[prost(fixed64, repeated, tag = "1")]
  pub streams: Vec<u64>,
  /// The software version that began them.
  #[prost(string, tag = "2")]
  pub version: String,
}

/// A software version of a service that is or recently was in service.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct ServiceVersion {
  /// Time since it was last seen in service, in milliseconds.
  #[prost(uint64, tag = "3")]
  pub age_ms: u64,
  /// Hash of the name of the service.
  #[prost(fixed64, tag = "1")]
  pub service: u64,
  /// The version.
  #[prost(string, tag = "2")]
  pub version: String,
}

impl ServiceVersion {
  /// Builds the message for a version that was last seen in service `age` ago.
  pub fn new(version: &origin::ServiceVersion, age: Duration) -> Self {
    let (service, version) = version;
    Self {
      age_ms: span::milliseconds(age),
      service: *service,
      version: version.as_ref().to_owned(),
    }
  }

  /// Returns when it was last seen in service, on this host's clock.
  pub fn last_seen(&self, now: Instant) -> Instant {
    time_before(self.age_ms, now)
  }
}

/// State that a host sends to each other host at short intervals.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
  /// What client accounts use through the sender, as far as it has changed.
  #[prost(message, repeated, tag = "38")]
  pub account_uses: Vec<share::Message>,
  /// Prompt parts that targets have begun to hold.
  #[prost(message, repeated, tag = "37")]
  pub held_prompts: Vec<prompt::Message>,
  /// What the sender saw of the streams of targets since its last heartbeat.
  #[prost(message, repeated, tag = "35")]
  pub paces: Vec<pace::Message>,
  /// The sender's requests that wait for places, by service.
  #[prost(message, repeated, tag = "36")]
  pub waiting: Vec<contention::Message>,
  /// Targets that came into service or changed recently; only from hosts that read them for the
  /// others.
  #[prost(message, repeated, tag = "21")]
  pub announcements: Vec<Announcement>,
  /// Features of requests that are kept away from the targets.
  #[prost(message, repeated, tag = "22")]
  pub bans: Vec<Ban>,
  /// Statements of brittle targets to the sender.
  #[prost(message, repeated, tag = "30")]
  pub brittle: Vec<Brittle>,
  /// The room that the sender found at brittle targets.
  #[prost(message, repeated, tag = "32")]
  pub rooms: Vec<Room>,
  /// Address at which callers reach the sender.
  #[prost(string, tag = "1")]
  pub callers: String,
  /// Crashes of targets that the sender noticed recently.
  #[prost(message, repeated, tag = "23")]
  pub crashes: Vec<Crash>,
  /// Recent sound answers to requests with suspected features.
  #[prost(message, repeated, tag = "24")]
  pub sounds: Vec<Sound>,
  /// Newest era of the platform's store that the sender knows, if it has read the store.
  #[prost(uint64, optional, tag = "16")]
  pub era: Option<u64>,
  /// Data centres that are out of service as of `operator_revision`.
  #[prost(string, repeated, tag = "14")]
  pub evacuated: Vec<String>,
  /// Data centres that were out of service before the store was restored, while the sender keeps
  /// them so.
  #[prost(string, repeated, tag = "18")]
  pub held_evacuations: Vec<String>,
  /// Era of the store to which `operator_revision` belongs.
  #[prost(uint64, tag = "19")]
  pub operator_era: u64,
  /// Time since the sender learned that the store was restored, in milliseconds; absent if that
  /// is long ago.
  #[prost(uint64, optional, tag = "17")]
  pub restore_age_ms: Option<u64>,
  /// Revision of the platform's store up to which the sender has read the operator's
  /// documents.
  #[prost(uint64, tag = "15")]
  pub operator_revision: u64,
  /// Time since the sender's catalog was last confirmed as current, in milliseconds.
  #[prost(uint64, optional, tag = "2")]
  pub catalog_age_ms: Option<u64>,
  /// Version of the sender's catalog; 0 if it has none.
  #[prost(uint64, tag = "3")]
  pub catalog_version: u64,
  /// The newest heartbeat of the recipient that the sender has received.
  #[prost(message, optional, tag = "4")]
  pub echo: Option<Echo>,
  /// Incarnation of the sender, which identifies its process.
  #[prost(fixed64, tag = "5")]
  pub incarnation: u64,
  /// Targets that were removed recently or announced that they will stop.
  #[prost(message, repeated, tag = "6")]
  pub leaving: Vec<Leaving>,
  /// Limits that targets named to the sender.
  #[prost(message, repeated, tag = "25")]
  pub limits: Vec<Limit>,
  /// Load that the sender has placed on each target.
  #[prost(message, repeated, tag = "7")]
  pub loads: Vec<Load>,
  /// Addresses of some hosts that the sender heard from recently.
  #[prost(string, repeated, tag = "8")]
  pub members: Vec<String>,
  /// Streams that the sender began or continued recently and that their callers may continue.
  #[prost(message, repeated, tag = "26")]
  pub origins: Vec<Origin>,
  /// Number of the sender's phase.
  #[prost(uint32, tag = "9")]
  pub phase: u32,
  /// Protocol that the sender speaks; 0 if its build does not state it.
  #[prost(uint32, tag = "31")]
  pub protocol: u32,
  /// Whether the sender has listed the targets and its last reads of the platform succeeded.
  #[prost(bool, tag = "10")]
  pub reads: bool,
  /// Address at which other hosts reach the sender.
  #[prost(string, tag = "11")]
  pub sender: String,
  /// Sequence number of the heartbeat; it rises within one process.
  #[prost(uint64, tag = "12")]
  pub sequence: u64,
  /// Time since the targets of `targets_digest` were confirmed as those in service, in milliseconds; absent if
  /// the sender cannot tell for each whether it is, or its build does not state it.
  #[prost(uint64, optional, tag = "39")]
  pub targets_age_ms: Option<u64>,
  /// Digest of the listed targets; only from hosts that read them for the others.
  #[prost(fixed64, optional, tag = "20")]
  pub targets_digest: Option<u64>,
  /// Hashes of the names of services to whose targets the sender has lost its links.
  #[prost(fixed64, repeated, tag = "28")]
  pub unreachable_services: Vec<u64>,
  /// Versions of the services of which several are or recently were in service; those of all services
  /// if `versions_known_for_ms` is present, up to the time that `versions_known_until_ms` states.
  #[prost(message, repeated, tag = "27")]
  pub versions: Vec<ServiceVersion>,
  /// Time since the beginning of the time of which the sender knows all versions in service, in
  /// milliseconds.
  #[prost(uint64, optional, tag = "29")]
  pub versions_known_for_ms: Option<u64>,
  /// Time since the beginning of the time of which the sender knows all versions at which it began streams
  /// itself, in milliseconds; absent if its build does not state it. The end is now.
  #[prost(uint64, optional, tag = "34")]
  pub versions_remembered_for_ms: Option<u64>,
  /// Time since the end of that of `versions_known_for_ms`, in milliseconds; absent if its build does not state it, and may have
  /// been out of touch.
  #[prost(uint64, optional, tag = "33")]
  pub versions_known_until_ms: Option<u64>,
  /// Capacity of the sender, in thousandths of a core.
  #[prost(uint32, tag = "13")]
  pub weight: u32,
}

impl Heartbeat {
  /// Returns whether the sender knows requests that other hosts pass on, and questions whether a target
  /// listens.
  ///
  /// The last build that states no protocol knows them, too; it alone of those sends
  /// `versions_known_for_ms`, to processes that have just started.
  pub fn can_assist(&self) -> bool {
    self.protocol >= ASSISTING_PROTOCOL || self.versions_known_for_ms.is_some()
  }

  /// Returns whether the sender takes a request that is passed on for what it is although more is told of it
  /// than the sender reads.
  pub fn passes_over_further_values(&self) -> bool {
    self.protocol >= FURTHER_VALUES_PROTOCOL
  }
}
