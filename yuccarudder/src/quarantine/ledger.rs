use {
  super::{
    Ban, Crash, Sound, ban,
    evidence::Evidence,
    suspect::{MIN_CRASHES_OF_NEW_PART, Suspect},
  },
  std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
  },
};

/// Time for which a target must have been answering for the answer to count as sound before its
/// end: a target that crashes under a request does so when it begins to answer.
pub const SOUND_AFTER: Duration = Duration::from_millis(300);
/// Crashes closer to each other than this may have one cause, such as the loss of a rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(150);
/// Crashes after which a part is banned that was answered soundly before.
const MIN_CRASHES: usize = 5;
/// Minimum time without a sound answer for a part that was answered soundly before; sound answers
/// of a part in common use are far more frequent.
const MIN_SILENCE: Duration = Duration::from_millis(1500);
/// Crashes at which a part of a ban occurs without the others before it is banned alone.
const MIN_CRASHES_ALONE: usize = 2;
/// Time for which a host must have seen traffic before a part counts as never answered soundly.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(10);
/// How long crashes and answers are announced to the other hosts: several heartbeats of a large
/// fleet, as some are lost.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(5);
/// Interval at which one request is let through to find out whether a banned part is sound again.
const TRIAL_INTERVAL: Duration = Duration::from_secs(600);
/// Time until the first such request if the part was answered soundly before the crashes, since it
/// may be blamed wrongly.
const FIRST_TRIAL_INTERVAL: Duration = Duration::from_secs(30);
/// Time without a crash after which crashes that led to no ban are forgotten.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Time without a crash after which a ban is forgotten.
const BAN_RETENTION: Duration = Duration::from_secs(3600);
/// Difference between the times of a crash at two hosts that is due to delays of messages.
const MESSAGE_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of crashes kept; the oldest ones are dropped.
const MAX_CRASHES: usize = 256;
/// Maximum number of parts kept of a crash; those never answered soundly come first.
const MAX_PARTS: usize = 16;
/// Maximum number of bans; further parts are banned when earlier bans end.
const MAX_BANS: usize = 64;
/// Maximum number of parts whose last sound answer is kept; the oldest ones are dropped.
const MAX_SOUND_PARTS: usize = 4096;

/// What the bans mean for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
  /// No ban covers it.
  Allowed,
  /// A ban covers it.
  Banned(Ban),
  /// A ban covers it, but it is sent to find out whether the ban is still needed.
  Trial,
}

#[derive(Clone, Copy, Debug)]
struct SoundRecord {
  /// Until when this host announces its own sound answer.
  announced_until: Option<Instant>,
  /// When the last sound answer began, at any host.
  latest: Instant,
  /// When the last sound answer of this host began.
  own: Option<Instant>,
}

#[derive(Clone, Debug)]
struct BanRecord {
  ban: Ban,
  last_trial: Option<Instant>,
}

#[derive(Clone, Debug)]
struct CrashRecord {
  crash: Crash,
  /// Whether this host noticed the crash itself.
  own: bool,
}

/// The crashes, sound answers and bans that a host knows.
#[derive(Clone, Debug)]
pub struct Ledger {
  bans: Vec<BanRecord>,
  crashes: VecDeque<CrashRecord>,
  sounds: HashMap<u64, SoundRecord>,
  started_at: Instant,
}

impl Ledger {
  /// Returns the bans.
  pub fn bans(&self) -> impl Iterator<Item = &Ban> {
    self.bans.iter().map(|record| &record.ban)
  }

  /// Decides whether a request with the given shared prompt parts may be sent to a target.
  ///
  /// `conducts_trials` is true on one host of the fleet.
  pub fn check(&mut self, parts: &[u64], conducts_trials: bool, now: Instant) -> Verdict {
    let Some(record) = self.bans.iter_mut().find(|record| record.ban.covers(parts)) else {
      return Verdict::Allowed;
    };
    let was_sound = record.ban.parts.iter().any(|part| self.sounds.contains_key(part));
    let (last_try, interval) = match record.last_trial {
      None if was_sound => (record.ban.last_crash, FIRST_TRIAL_INTERVAL),
      None => (record.ban.last_crash, TRIAL_INTERVAL),
      Some(trial) => (trial.max(record.ban.last_crash), TRIAL_INTERVAL),
    };
    if conducts_trials && now.saturating_duration_since(last_try) >= interval {
      record.last_trial = Some(now);
      return Verdict::Trial;
    }
    Verdict::Banned(record.ban.clone())
  }

  /// Returns the crashes that this host announces to the others, newest first.
  pub fn announced_crashes(&self, now: Instant) -> impl Iterator<Item = &Crash> {
    let is_recent = move |record: &&CrashRecord| {
      record.own && now.saturating_duration_since(record.crash.at) < ANNOUNCEMENT_PERIOD
    };
    self.crashes.iter().rev().filter(is_recent).map(|record| &record.crash)
  }

  /// Returns the sound answers that this host announces to the others.
  pub fn announced_sounds(&self, now: Instant) -> impl Iterator<Item = Sound> {
    self.sounds.iter().filter_map(move |(part, record)| {
      let began_at = record.own.filter(|_| record.announced_until.is_some_and(|end| now < end))?;
      Some(Sound {
        began_at,
        part: *part,
      })
    })
  }

  /// Bans the parts that the crashes call for; returns the new bans.
  ///
  /// `news_delay` is the time in which another host that has soundly answered a part reports so.
  pub fn judge(&mut self, news_delay: Duration, now: Instant) -> Vec<Ban> {
    let is_kept = |at: Instant, retention| now.saturating_duration_since(at) < retention;
    self.crashes.retain(|record| is_kept(record.crash.at, CRASH_RETENTION));
    self.bans.retain(|record| is_kept(record.ban.last_crash, BAN_RETENTION));
    let mut new_bans = Vec::new();
    if self.crashes.is_empty() {
      return new_bans;
    }
    while let Some(ban) = self.find_culprit(news_delay, now) {
      if !self.insert_ban(ban.clone()) {
        break;
      }
      new_bans.push(ban);
    }
    new_bans
  }

  /// Adds a ban of another host; returns whether it is new here.
  ///
  /// Parts that were soundly answered since its first crash are left out.
  pub fn merge_ban(&mut self, mut ban: Ban, now: Instant) -> bool {
    let first_crash = ban.first_crash;
    ban.parts.retain(|part| match self.sounds.get_mut(part) {
      Some(record) if record.latest > first_crash => {
        record.announced_until = Some(now + ANNOUNCEMENT_PERIOD);
        false
      }
      _ => true,
    });
    ban.parts.sort_unstable();
    ban.parts.dedup();
    !ban.parts.is_empty() && self.insert_ban(ban)
  }

  /// Creates an empty ledger.
  pub fn new(now: Instant) -> Self {
    Self {
      bans: Vec::new(),
      crashes: VecDeque::new(),
      sounds: HashMap::new(),
      started_at: now,
    }
  }

  /// Records a crash that this host noticed itself (`own`) or another one reported; returns whether
  /// it is new.
  ///
  /// A crash without parts has a cause other than the requests that the target had just begun to
  /// answer.
  pub fn record_crash(&mut self, mut crash: Crash, own: bool, now: Instant) -> bool {
    self.limit_parts(&mut crash.parts);
    for part in &crash.parts {
      if let Some(record) = self.sounds.get_mut(part) {
        record.announced_until = Some(now + ANNOUNCEMENT_PERIOD);
      }
    }
    for record in &mut self.bans {
      if record.ban.covers(&crash.parts) {
        record.ban.last_crash = record.ban.last_crash.max(crash.at);
      }
    }
    let known = self
      .crashes
      .iter_mut()
      .find(|record| record.crash.target == crash.target && record.crash.parts == crash.parts);
    if let Some(known) = known {
      known.crash.at = known.crash.at.min(crash.at);
      known.own |= own;
      return false;
    }
    if self.crashes.len() >= MAX_CRASHES {
      self.crashes.pop_front();
    }
    self.crashes.push_back(CrashRecord { crash, own });
    true
  }

  /// Records that a target soundly answered a request with the given shared prompt parts, as this
  /// host saw itself.
  pub fn record_sound(&mut self, parts: &[u64], began_at: Instant, now: Instant) {
    for part in parts {
      let is_suspected = self.is_suspected(*part);
      let record = self.update_sound(*part, began_at);
      record.own = record.own.max(Some(began_at));
      if is_suspected {
        record.announced_until = Some(now + ANNOUNCEMENT_PERIOD);
      }
    }
  }

  /// Records a sound answer that another host reported.
  pub fn merge_sound(&mut self, sound: Sound) {
    self.update_sound(sound.part, sound.began_at);
  }

  fn is_suspected(&self, part: u64) -> bool {
    self.crashes.iter().any(|record| record.crash.parts.contains(&part))
      || self.bans().any(|ban| ban.parts.contains(&part))
  }

  /// Updates the last sound answer of a part and takes the part out of the bans that it refutes.
  fn update_sound(&mut self, part: u64, began_at: Instant) -> &mut SoundRecord {
    for record in &mut self.bans {
      if began_at > record.ban.first_crash {
        record.ban.parts.retain(|banned| *banned != part);
      }
    }
    self.bans.retain(|record| !record.ban.parts.is_empty());
    if !self.sounds.contains_key(&part) && self.sounds.len() >= MAX_SOUND_PARTS {
      self.drop_oldest_sounds();
    }
    let record = self.sounds.entry(part).or_insert(SoundRecord {
      announced_until: None,
      latest: began_at,
      own: None,
    });
    record.latest = record.latest.max(began_at);
    record
  }

  /// Drops the older half of the sound answers.
  fn drop_oldest_sounds(&mut self) {
    let mut times: Vec<Instant> = self.sounds.values().map(|record| record.latest).collect();
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    let median = *median;
    self.sounds.retain(|_, record| record.latest > median);
  }

  /// Reduces the parts of a crash to those that are kept.
  fn limit_parts(&self, parts: &mut Vec<u64>) {
    if parts.len() > MAX_PARTS {
      parts.sort_by_key(|part| self.sounds.contains_key(part));
      parts.truncate(MAX_PARTS);
    }
    parts.sort_unstable();
    parts.dedup();
  }

  /// Returns whether a crash still speaks against a part: no sound answer began later.
  fn speaks_against(&self, crash: &Crash, part: u64) -> bool {
    self.sounds.get(&part).is_none_or(|sound| sound.latest <= crash.at)
  }

  /// Returns the crashes under each part that still speak against it.
  ///
  /// A crash that a ban covers speaks only against the parts of that ban.
  fn evidence(&self) -> BTreeMap<u64, Evidence> {
    let mut covering: HashMap<u64, Vec<&Ban>> = HashMap::new();
    for record in &self.crashes {
      let bans = self.bans().filter(|ban| ban.covers(&record.crash.parts));
      covering.entry(record.crash.target).or_default().extend(bans);
    }
    let mut evidence: BTreeMap<u64, Evidence> = BTreeMap::new();
    for CrashRecord { crash, .. } in &self.crashes {
      let bans = &covering[&crash.target];
      for part in &crash.parts {
        let is_explained = !bans.is_empty() && !bans.iter().any(|ban| ban.parts.contains(part));
        if is_explained || !self.speaks_against(crash, *part) {
          continue;
        }
        let entry = evidence.entry(*part).or_default();
        let at = entry.targets.entry(crash.target).or_insert(crash.at);
        *at = crash.at.min(*at);
        if bans.is_empty() {
          entry.uncovered.insert(crash.target);
        }
      }
    }
    evidence
  }

  /// Returns whether no target is known to have answered a part soundly.
  fn is_new(&self, part: u64, now: Instant) -> bool {
    !self.sounds.contains_key(&part)
      && now.saturating_duration_since(self.started_at) >= OBSERVATION_PERIOD
  }

  /// Returns the targets of the crashes that are `counted`, in groups that crashed at about the same
  /// time. A target is left out if one of its crashes is.
  fn crash_groups(&self, is_counted: impl Fn(&Crash) -> bool) -> Vec<Vec<u64>> {
    let crashes = self.crashes.iter().map(|record| &record.crash);
    let left_out: HashSet<u64> =
      crashes.filter(|crash| !is_counted(crash)).map(|crash| crash.target).collect();
    let mut times: HashMap<u64, Instant> = HashMap::new();
    for CrashRecord { crash, .. } in &self.crashes {
      if left_out.contains(&crash.target) {
        continue;
      }
      let at = times.entry(crash.target).or_insert(crash.at);
      *at = crash.at.min(*at);
    }
    let mut times: Vec<(Instant, u64)> =
      times.into_iter().map(|(target, at)| (at, target)).collect();
    times.sort_unstable();
    let mut groups: Vec<Vec<u64>> = Vec::new();
    let mut group_end = None;
    for (at, target) in times {
      match groups.last_mut().filter(|_| group_end.is_some_and(|end| at < end)) {
        Some(group) => group.push(target),
        None => {
          groups.push(vec![target]);
          group_end = Some(at + COMMON_CAUSE_WINDOW);
        }
      }
    }
    groups
  }

  /// Returns whether a crash of a target is known.
  pub fn has_crashed(&self, target: u64) -> bool {
    self.crashes.iter().any(|record| record.crash.target == target)
  }

  /// Returns the ban of the part against which most crashes speak, if they suffice.
  fn find_culprit(&self, news_delay: Duration, now: Instant) -> Option<Ban> {
    if self.bans.len() >= MAX_BANS {
      return None;
    }
    let evidence = self.evidence();
    let all_groups = self.crash_groups(|_| true);
    let uncovered_groups =
      self.crash_groups(|crash| !self.bans().any(|ban| ban.covers(&crash.parts)));
    let groups_of = |part: &u64| {
      let is_banned = self.bans().any(|ban| ban.parts.contains(part));
      if is_banned {
        &all_groups
      } else {
        &uncovered_groups
      }
    };
    let suspects: Vec<Suspect<'_>> = evidence
      .iter()
      .map(|(part, evidence)| Suspect {
        crashes: evidence.count(groups_of(part), |_| true),
        evidence,
        groups: groups_of(part),
        is_new: self.is_new(*part, now),
        part: *part,
      })
      .collect();
    let suffices = |suspect: &Suspect<'_>| {
      let evidence = suspect.evidence;
      let silence = evidence.first().map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
      let (min_crashes, min_silence) = if suspect.is_new {
        (MIN_CRASHES_OF_NEW_PART, news_delay)
      } else {
        (MIN_CRASHES, news_delay.max(MIN_SILENCE))
      };
      if suspect.crashes < min_crashes || silence < min_silence {
        return false;
      }
      if self.bans().any(|ban| ban.parts.contains(&suspect.part)) {
        let is_uncovered = |target| evidence.uncovered.contains(&target);
        return evidence.count(suspect.groups, is_uncovered) >= MIN_CRASHES_ALONE;
      }
      let rivals: Vec<&Suspect<'_>> =
        suspects.iter().filter(|other| other.explains_better(suspect)).collect();
      let is_left =
        |target| !rivals.iter().any(|rival| rival.evidence.targets.contains_key(&target));
      evidence.count(suspect.groups, is_left) >= min_crashes
    };
    let culprit = suspects.iter().filter(|suspect| suffices(suspect));
    let culprit = culprit.max_by_key(|suspect| (suspect.crashes, suspect.part))?;
    let found = culprit.evidence;
    let first_crash = found.first()?;
    Some(Ban {
      crashes: u32::try_from(found.targets.len()).unwrap_or(u32::MAX),
      first_crash,
      last_crash: found.targets.values().max().copied().unwrap_or(first_crash),
      parts: self.companions(culprit.part, found),
    })
  }

  /// Returns the parts that all crashes under a part have in common, among them the part itself.
  fn companions(&self, part: u64, evidence: &Evidence) -> Vec<u64> {
    let mut common: Option<Vec<u64>> = None;
    for target in evidence.targets.keys() {
      let crashes = self.crashes.iter().map(|record| &record.crash);
      let crashes = crashes.filter(|crash| crash.target == *target && crash.parts.contains(&part));
      let parts: HashSet<u64> = crashes
        .flat_map(|crash| {
          crash.parts.iter().copied().filter(|other| self.speaks_against(crash, *other))
        })
        .collect();
      match &mut common {
        Some(common) => common.retain(|other| parts.contains(other)),
        None => common = Some(parts.into_iter().collect()),
      }
    }
    let mut common = common.unwrap_or_default();
    common.sort_unstable();
    common
  }

  /// Adds a ban, unless there is one of the same or of fewer parts; returns whether it was added.
  fn insert_ban(&mut self, ban: Ban) -> bool {
    let narrower =
      self.bans.iter_mut().find(|record| ban::is_subset(&record.ban.parts, &ban.parts));
    if let Some(record) = narrower {
      if ban.last_crash > record.ban.last_crash + MESSAGE_DELAY {
        record.ban.last_crash = ban.last_crash;
      }
      record.ban.crashes = record.ban.crashes.max(ban.crashes);
      return false;
    }
    self.bans.retain(|record| !ban::is_subset(&ban.parts, &record.ban.parts));
    if self.bans.len() >= MAX_BANS {
      return false;
    }
    self.bans.push(BanRecord {
      ban,
      last_trial: None,
    });
    true
  }
}
