use {
  super::{
    Ban, Crash, Feature, Sound,
    activity::Activity,
    ban,
    evidence::{CLOCK_TOLERANCE, CrashedRun, Evidence, Overlap},
    suspect::{MIN_CRASHES_OF_NEW_FEATURE, Suspect},
  },
  std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
  },
};

/// Time for which a target must have been answering for the answer to count as sound before its
/// end: a target that crashes under a request does so when it begins to answer.
pub const SOUND_AFTER: Duration = Duration::from_millis(300);
/// Crashes after which a feature is banned that was answered soundly before.
const MIN_CRASHES: usize = 5;
/// Minimum time without a sound answer for a feature that was answered soundly before; sound answers
/// of a feature in common use are far more frequent.
const MIN_SILENCE: Duration = Duration::from_millis(1500);
/// Crashes at which a feature of a ban occurs without the others before it is banned alone.
const MIN_CRASHES_ALONE: usize = 2;
/// Time for which a host must have seen traffic before it knows the features in common use.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(10);
/// How long crashes and answers are announced to the other hosts: several heartbeats of a large
/// fleet, as some are lost.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(5);
/// Interval at which one request is let through to find out whether a banned feature is sound again.
const TRIAL_INTERVAL: Duration = Duration::from_secs(600);
/// Time until the first such request if the feature was answered soundly before the crashes, since it
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
/// Maximum number of features kept of a crash; those never answered soundly come first.
const MAX_FEATURES: usize = 16;
/// Maximum number of bans; further features are banned when earlier bans end.
const MAX_BANS: usize = 64;
/// Maximum number of features whose last sound answer is kept; the oldest ones are dropped, contents
/// before prompt parts.
const MAX_SOUND_FEATURES: usize = 4096;

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
  /// Until when this host announces the crash, whoever noticed it.
  announced_until: Option<Instant>,
  crash: Crash,
  /// Whether this host noticed the crash itself.
  own: bool,
}

/// Returns whether `targets`, which are known to have crashed under a ban, are all that it rests on.
fn rests_on(ban: &Ban, targets: &HashSet<u64>) -> bool {
  u32::try_from(targets.len()).is_ok_and(|known| known >= ban.crashes)
}

/// Returns whether a ban has ended because it was uncertain.
fn is_over(ban: &Ban, now: Instant) -> bool {
  ban.is_uncertain && now >= ban.uncertain_until()
}

/// The crashes, sound answers and bans that a host knows.
#[derive(Clone, Debug)]
pub struct Ledger {
  activity: Activity,
  bans: Vec<BanRecord>,
  crashes: VecDeque<CrashRecord>,
  /// Whether crashes were recorded since the last judgement.
  has_new_crashes: bool,
  /// The time in which other hosts report sound answers, by the last judgement.
  news_delay: Option<Duration>,
  sounds: HashMap<Feature, SoundRecord>,
  started_at: Instant,
}

impl Ledger {
  /// Returns the bans.
  pub fn bans(&self) -> impl Iterator<Item = &Ban> {
    self.bans.iter().map(|record| &record.ban)
  }

  /// Decides whether a request with the given features may be sent to a target, by all crashes that are
  /// recorded.
  ///
  /// `conducts_trials` is true on one host of the fleet.
  pub fn check(&mut self, features: &[Feature], conducts_trials: bool, now: Instant) -> Verdict {
    if self.has_new_crashes
      && let Some(news_delay) = self.news_delay
    {
      self.judge(news_delay, now);
    }
    let is_covering =
      |record: &&mut BanRecord| record.ban.covers(features) && !is_over(&record.ban, now);
    let covering = self.bans.iter_mut().filter(is_covering);
    let Some(record) = covering.min_by_key(|record| record.ban.is_uncertain) else {
      return Verdict::Allowed;
    };
    if record.ban.is_uncertain {
      return Verdict::Banned(record.ban.clone());
    }
    let was_sound = record.ban.features.iter().any(|feature| self.sounds.contains_key(feature));
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

  /// Returns the crashes that this host announces to the others: first its own, those under features
  /// that explain most crashes before the newest, then those that put bans in doubt.
  pub fn announced_crashes(&self, now: Instant) -> Vec<&Crash> {
    let is_recent = |record: &CrashRecord| {
      record.own && now.saturating_duration_since(record.crash.at) < ANNOUNCEMENT_PERIOD
    };
    let is_announced = |record: &&CrashRecord| {
      is_recent(record) || record.announced_until.is_some_and(|end| now < end)
    };
    let mut records: Vec<&CrashRecord> = self.crashes.iter().rev().filter(is_announced).collect();
    if records.len() > 1 {
      let evidence = self.evidence();
      let explained =
        |feature: &Feature| evidence.get(feature).map_or(0, |evidence| evidence.targets.len());
      records.sort_by_key(|record| {
        let most_explained = record.crash.features.iter().map(explained).max();
        (!is_recent(record), Reverse(most_explained))
      });
    }
    records.into_iter().map(|record| &record.crash).collect()
  }

  /// Returns the sound answers that this host announces to the others.
  pub fn announced_sounds(&self, now: Instant) -> impl Iterator<Item = Sound> {
    self.sounds.iter().filter_map(move |(feature, record)| {
      let began_at = record.own.filter(|_| record.announced_until.is_some_and(|end| now < end))?;
      Some(Sound {
        began_at,
        feature: *feature,
      })
    })
  }

  /// Bans the features that the crashes call for; returns the new bans.
  ///
  /// `news_delay` is the time in which another host that has soundly answered a feature reports so.
  pub fn judge(&mut self, news_delay: Duration, now: Instant) -> Vec<Ban> {
    self.has_new_crashes = false;
    self.news_delay = Some(news_delay);
    let is_kept = |at: Instant, retention| now.saturating_duration_since(at) < retention;
    self.crashes.retain(|record| is_kept(record.crash.at, CRASH_RETENTION));
    self.bans.retain(|record| is_kept(record.ban.last_crash, BAN_RETENTION));
    self.bans.retain(|record| !is_over(&record.ban, now));
    self.revise_bans(now);
    let mut new_bans = Vec::new();
    if self.crashes.is_empty() {
      return new_bans;
    }
    loop {
      let mut culprits = self.find_culprits(news_delay, now);
      culprits.retain(|ban| self.insert_ban(ban.clone()));
      if culprits.is_empty() {
        return new_bans;
      }
      new_bans.extend(culprits);
    }
  }

  /// Adds a ban of another host; returns whether it is new here.
  ///
  /// Parts that were soundly answered since its first crash are left out. If crashes that are known here
  /// put it in doubt, the other hosts are told of them.
  pub fn merge_ban(&mut self, mut ban: Ban, now: Instant) -> bool {
    let first_crash = ban.first_crash;
    ban.features.retain(|feature| match self.sounds.get_mut(feature) {
      Some(record) if record.latest > first_crash => {
        record.announced_until = Some(now + ANNOUNCEMENT_PERIOD);
        false
      }
      _ => true,
    });
    ban.features.sort_unstable();
    ban.features.dedup();
    if ban.features.is_empty() || is_over(&ban, now) {
      return false;
    }
    let is_standing = self.certain_bans().any(|known| known.features == ban.features);
    let targets = self.targets_under(&ban.features);
    let rivals = if ban.is_uncertain || is_standing {
      Vec::new()
    } else {
      self.rivals(&ban, &targets)
    };
    let is_refuted = !rivals.is_empty() && rests_on(&ban, &targets);
    let is_new = !is_refuted && self.insert_ban(ban.clone());
    if is_refuted || is_new {
      self.announce_doubts(&ban, &rivals, now);
    }
    is_new
  }

  /// Creates an empty ledger.
  pub fn new(now: Instant) -> Self {
    Self {
      activity: Activity::default(),
      bans: Vec::new(),
      crashes: VecDeque::new(),
      has_new_crashes: false,
      news_delay: None,
      sounds: HashMap::new(),
      started_at: now,
    }
  }

  /// Records a crash that this host noticed itself (`own`) or another one reported; returns whether
  /// it is new.
  ///
  /// A crash without features has a cause other than the requests that the target had just begun to
  /// answer.
  pub fn record_crash(&mut self, mut crash: Crash, own: bool, now: Instant) -> bool {
    self.limit_features(&mut crash.features);
    for feature in &crash.features {
      if let Some(record) = self.sounds.get_mut(feature) {
        record.announced_until = Some(now + ANNOUNCEMENT_PERIOD);
      }
    }
    for record in &mut self.bans {
      if record.ban.covers(&crash.features) {
        record.ban.last_crash = record.ban.last_crash.max(crash.at);
      }
    }
    let known = self.crashes.iter_mut().find(|record| {
      record.crash.target == crash.target && record.crash.features == crash.features
    });
    if let Some(known) = known {
      known.crash.at = known.crash.at.min(crash.at);
      known.own |= own;
      return false;
    }
    if self.crashes.len() >= MAX_CRASHES {
      self.crashes.pop_front();
    }
    self.crashes.push_back(CrashRecord {
      announced_until: None,
      crash,
      own,
    });
    self.has_new_crashes = true;
    true
  }

  /// Records that a target of a service soundly answered a request with the given features, as this
  /// host saw itself. `service` is the hash of its name.
  ///
  /// Returns whether it is the first one of the service since the last crash, so that the crashes are
  /// to be judged again.
  pub fn record_sound(
    &mut self,
    features: &[Feature],
    service: u64,
    began_at: Instant,
    now: Instant,
  ) -> bool {
    let last_crash = self.crashes.iter().filter(|record| record.crash.service == service);
    let last_crash = last_crash.map(|record| record.crash.at).max();
    let is_first = last_crash
      .is_some_and(|at| began_at > at && self.activity.first_answer_after(service, at).is_none());
    self.activity.record(service, began_at);
    for feature in features {
      let is_suspected = self.is_suspected(*feature);
      let record = self.update_sound(*feature, began_at);
      record.own = record.own.max(Some(began_at));
      if is_suspected {
        record.announced_until = Some(now + ANNOUNCEMENT_PERIOD);
      }
    }
    is_first
  }

  /// Records a sound answer that another host reported.
  pub fn merge_sound(&mut self, sound: Sound) {
    self.update_sound(sound.feature, sound.began_at);
  }

  fn is_suspected(&self, feature: Feature) -> bool {
    self.crashes.iter().any(|record| record.crash.features.contains(&feature))
      || self.bans().any(|ban| ban.features.contains(&feature))
  }

  /// Updates the last sound answer of a feature and takes the feature out of the bans that it refutes.
  fn update_sound(&mut self, feature: Feature, began_at: Instant) -> &mut SoundRecord {
    for record in &mut self.bans {
      if began_at > record.ban.first_crash {
        record.ban.features.retain(|banned| *banned != feature);
      }
    }
    self.bans.retain(|record| !record.ban.features.is_empty());
    if !self.sounds.contains_key(&feature) && self.sounds.len() >= MAX_SOUND_FEATURES {
      self.drop_oldest_sounds();
    }
    let record = self.sounds.entry(feature).or_insert(SoundRecord {
      announced_until: None,
      latest: began_at,
      own: None,
    });
    record.latest = record.latest.max(began_at);
    record
  }

  /// Drops the older half of the sound answers to contents, or to all features if few are contents.
  fn drop_oldest_sounds(&mut self) {
    let contents = self.sounds.keys().filter(|feature| feature.is_content()).count();
    let is_candidate =
      |feature: &Feature| feature.is_content() || contents < MAX_SOUND_FEATURES / 2;
    let candidates = self.sounds.iter().filter(|(feature, _)| is_candidate(feature));
    let mut times: Vec<Instant> = candidates.map(|(_, record)| record.latest).collect();
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    let median = *median;
    self.sounds.retain(|feature, record| !is_candidate(feature) || record.latest > median);
  }

  /// Reduces the features of a crash to those that are kept.
  fn limit_features(&self, features: &mut Vec<Feature>) {
    if features.len() > MAX_FEATURES {
      features.sort_by_key(|feature| (self.sounds.contains_key(feature), !feature.is_content()));
      features.truncate(MAX_FEATURES);
    }
    features.sort_unstable();
    features.dedup();
  }

  /// Returns whether a crash still speaks against a feature: no sound answer began later.
  fn speaks_against(&self, crash: &Crash, feature: Feature) -> bool {
    self.sounds.get(&feature).is_none_or(|sound| sound.latest <= crash.at)
  }

  /// Returns the crashes under each feature that still speak against it.
  ///
  /// A crash that a certain ban covers speaks only against the features of that ban.
  fn evidence(&self) -> BTreeMap<Feature, Evidence> {
    let mut covering: HashMap<u64, Vec<&Ban>> = HashMap::new();
    for record in &self.crashes {
      let bans = self.certain_bans().filter(|ban| ban.covers(&record.crash.features));
      covering.entry(record.crash.target).or_default().extend(bans);
    }
    let mut evidence: BTreeMap<Feature, Evidence> = BTreeMap::new();
    for CrashRecord { crash, .. } in &self.crashes {
      let bans = &covering[&crash.target];
      for feature in &crash.features {
        let is_explained =
          !bans.is_empty() && !bans.iter().any(|ban| ban.features.contains(feature));
        if is_explained || !self.speaks_against(crash, *feature) {
          continue;
        }
        let entry = evidence.entry(*feature).or_default();
        entry.service = crash.service;
        entry.add(
          crash.target,
          CrashedRun {
            at: crash.at,
            sent_at: crash.sent_at,
          },
        );
        if bans.is_empty() {
          entry.uncovered.insert(crash.target);
        }
      }
    }
    let crashes = self.crashes.iter().map(|record| &record.crash);
    let uncovered: Vec<&Crash> =
      crashes.filter(|crash| covering[&crash.target].is_empty()).collect();
    for evidence in evidence.values_mut().filter(|evidence| evidence.targets.len() > 1) {
      let unexplained = uncovered.iter().filter(|crash| {
        crash.service == evidence.service && !evidence.targets.contains_key(&crash.target)
      });
      evidence.unexplained = unexplained.map(|crash| crash.at).collect();
    }
    evidence
  }

  /// Returns whether no target is known to have answered a feature soundly.
  fn is_new(&self, feature: Feature, now: Instant) -> bool {
    !self.sounds.contains_key(&feature) && (feature.is_content() || self.has_seen_traffic(now))
  }

  /// Returns whether this host has been running long enough to know the features in common use.
  fn has_seen_traffic(&self, now: Instant) -> bool {
    now.saturating_duration_since(self.started_at) >= OBSERVATION_PERIOD
  }

  /// Lifts bans of contents whose crashes another content explains as well or better, so that they are
  /// judged again, and makes bans uncertain whose contents explain the same crashes: hosts decide
  /// before they have heard of all crashes. The other hosts are told of these crashes.
  fn revise_bans(&mut self, now: Instant) {
    let mut lifted = Vec::new();
    let mut doubted = Vec::new();
    let mut doubts = Vec::new();
    for ban in self.certain_bans() {
      let targets = self.targets_under(&ban.features);
      if !rests_on(ban, &targets) {
        continue;
      }
      let rivals = self.rivals(ban, &targets);
      for (rival, explained) in &rivals {
        let is_banned = self.certain_bans().any(|other| other.features.contains(rival));
        if !is_banned || self.is_outdone(&targets, explained) {
          lifted.push(ban.features.clone());
        } else {
          doubted.push(ban.features.clone());
        }
      }
      doubts.push((ban.clone(), rivals));
    }
    self.bans.retain(|record| !lifted.contains(&record.ban.features));
    for record in &mut self.bans {
      record.ban.is_uncertain |= doubted.contains(&record.ban.features);
    }
    for (ban, rivals) in doubts {
      self.announce_doubts(&ban, &rivals, now);
    }
  }

  /// Announces the crashes that put a ban in doubt, and those that it rests on: the hosts that hold it may
  /// not have heard of them, and those that noticed them may have restarted.
  fn announce_doubts(&mut self, ban: &Ban, rivals: &[(Feature, HashSet<u64>)], now: Instant) {
    if rivals.is_empty() {
      return;
    }
    for record in &mut self.crashes {
      let features = &record.crash.features;
      if ban.covers(features) || rivals.iter().any(|(rival, _)| features.contains(rival)) {
        record.announced_until = Some(now + ANNOUNCEMENT_PERIOD);
      }
    }
  }

  /// Returns the contents that explain the crashes of `targets`, which a ban of a content explains, as well or
  /// better, each with all targets that crashed under it. No target is known to have answered them soundly.
  fn rivals(&self, ban: &Ban, targets: &HashSet<u64>) -> Vec<(Feature, HashSet<u64>)> {
    if !ban.features.iter().any(|feature| feature.is_content()) {
      return Vec::new();
    }
    let crashes = self.crashes.iter().map(|record| &record.crash);
    let beside =
      crashes.filter(|crash| targets.contains(&crash.target)).flat_map(|crash| &crash.features);
    let contents: HashSet<Feature> = beside
      .filter(|feature| feature.is_content() && !ban.features.contains(feature))
      .filter(|content| !self.sounds.contains_key(content))
      .copied()
      .collect();
    let rivals = contents.into_iter().map(|content| (content, self.targets_under(&[content])));
    let is_rival = |explained: &HashSet<u64>| {
      targets.is_subset(explained) || self.is_outdone(targets, explained)
    };
    rivals.filter(|(_, explained)| is_rival(explained)).collect()
  }

  /// Returns whether a content that explains more crashes than another, or as many and the later ones,
  /// leaves too few of `targets`, the crashes of the other one, to blame that as well.
  fn is_outdone(&self, targets: &HashSet<u64>, explained: &HashSet<u64>) -> bool {
    let last =
      |targets: &HashSet<u64>| targets.iter().filter_map(|target| self.crash_time(*target)).max();
    let explains_better = match explained.len().cmp(&targets.len()) {
      Ordering::Greater => true,
      Ordering::Equal => last(explained) > last(targets).map(|at| at + CLOCK_TOLERANCE),
      Ordering::Less => false,
    };
    explains_better && targets.difference(explained).count() < MIN_CRASHES_OF_NEW_FEATURE
  }

  /// Returns the targets that crashed under requests with the given features.
  fn targets_under(&self, features: &[Feature]) -> HashSet<u64> {
    let crashes = self.crashes.iter().map(|record| &record.crash);
    crashes
      .filter(|crash| ban::is_subset(features, &crash.features))
      .map(|crash| crash.target)
      .collect()
  }

  fn certain_bans(&self) -> impl Iterator<Item = &Ban> {
    self.bans().filter(|ban| !ban.is_uncertain)
  }

  /// Returns whether a crash of a target is known.
  pub fn has_crashed(&self, target: u64) -> bool {
    self.crashes.iter().any(|record| record.crash.target == target)
  }

  /// Returns when a target crashed first, as far as requests are suspected of it.
  pub fn crash_time(&self, target: u64) -> Option<Instant> {
    let crashes = self.crashes.iter().map(|record| &record.crash);
    let suspected = crashes.filter(|crash| crash.target == target && !crash.features.is_empty());
    suspected.map(|crash| crash.at).min()
  }

  /// Blames no request for the crash of a target.
  pub fn excuse(&mut self, target: u64) {
    let crashes = self.crashes.iter_mut().map(|record| &mut record.crash);
    crashes.filter(|crash| crash.target == target).for_each(|crash| crash.features.clear());
  }

  /// Returns the ban of the feature against which most crashes speak, if they suffice. If features of
  /// other requests explain the same crashes, returns uncertain bans of all of them.
  fn find_culprits(&self, news_delay: Duration, now: Instant) -> Vec<Ban> {
    if self.bans.len() >= MAX_BANS {
      return Vec::new();
    }
    let evidence = self.evidence();
    let suspects: Vec<Suspect<'_>> = evidence
      .iter()
      .map(|(feature, evidence)| {
        let is_new = self.is_new(*feature, now);
        let overlap = if !is_new {
          Overlap::Explained
        } else if feature.is_content() && self.has_seen_traffic(now) {
          Overlap::All
        } else {
          Overlap::None
        };
        Suspect {
          crash_times: evidence.crash_times(overlap, |_| true),
          evidence,
          feature: *feature,
          is_new,
          overlap,
        }
      })
      .collect();
    let suffices = |suspect: &&Suspect<'_>| self.suffices(suspect, &suspects, news_delay, now);
    let mut culprits: Vec<&Suspect<'_>> = suspects.iter().filter(suffices).collect();
    culprits.sort_by_key(|culprit| Reverse((culprit.crash_times.len(), culprit.feature)));
    for culprit in &culprits {
      let companions = self.companions(culprit.feature, culprit.evidence);
      let rivals = culprits.iter().filter(|other| {
        !companions.contains(&other.feature)
          && other.crash_times.len() >= culprit.crash_times.len()
          && other.covers(culprit)
      });
      let rivals: Vec<&Suspect<'_>> = rivals.copied().collect();
      if rivals.is_empty() {
        let ban = self.ban(culprit, false);
        let targets = self.targets_under(&ban.features);
        let rivals = self.rivals(&ban, &targets);
        if rivals.iter().any(|(_, explained)| self.is_outdone(&targets, explained)) {
          continue;
        }
        return vec![ban];
      }
      let bans: Vec<Ban> =
        rivals.into_iter().chain([*culprit]).map(|rival| self.ban(rival, true)).collect();
      if bans.iter().all(|ban| !is_over(ban, now) && !self.is_banned(ban)) {
        return bans;
      }
    }
    Vec::new()
  }

  /// Returns whether the crashes under a feature suffice to ban it.
  fn suffices(
    &self,
    suspect: &Suspect<'_>,
    suspects: &[Suspect<'_>],
    news_delay: Duration,
    now: Instant,
  ) -> bool {
    let evidence = suspect.evidence;
    let since = |at: Instant| now.saturating_duration_since(at);
    let silence = evidence.first().map_or(Duration::ZERO, since);
    let (min_crashes, min_silence) = if suspect.is_new {
      (MIN_CRASHES_OF_NEW_FEATURE, news_delay)
    } else {
      (MIN_CRASHES, news_delay.max(MIN_SILENCE))
    };
    let Some(decisive_crash) = suspect.crash_times.get(min_crashes - 1) else {
      return false;
    };
    if silence < min_silence {
      return false;
    }
    // The silence of a feature in use means nothing while no request can be answered.
    let answered_after = |at| self.activity.first_answer_after(evidence.service, at);
    if !suspect.is_new && answered_after(*decisive_crash).is_none() {
      return false;
    }
    // Requests in common use that ran on targets which are lost one soon after the other are answered once
    // others are.
    let lone_crashes = evidence.crash_times(Overlap::None, |_| true);
    let is_silent_after = |crash| answered_after(crash).is_some_and(|at| since(at) >= MIN_SILENCE);
    if !suspect.is_new
      && lone_crashes.len() < min_crashes
      && let Some(last) = suspect.crash_times.iter().rfind(|crash| !lone_crashes.contains(crash))
      && !is_silent_after(*last)
    {
      return false;
    }
    if self.certain_bans().any(|ban| ban.features.contains(&suspect.feature)) {
      let is_uncovered = |target| evidence.uncovered.contains(&target);
      return evidence.crash_times(suspect.overlap, is_uncovered).len() >= MIN_CRASHES_ALONE;
    }
    let rivals: Vec<&Suspect<'_>> =
      suspects.iter().filter(|other| other.explains_better(suspect)).collect();
    let is_left = |target| !rivals.iter().any(|rival| rival.evidence.targets.contains_key(&target));
    evidence.crash_times(suspect.overlap, is_left).len() >= min_crashes
  }

  fn ban(&self, culprit: &Suspect<'_>, is_uncertain: bool) -> Ban {
    let evidence = culprit.evidence;
    let first_crash = evidence.first().expect("a culprit has crashes");
    Ban {
      crashes: u32::try_from(evidence.targets.len()).unwrap_or(u32::MAX),
      features: self.companions(culprit.feature, evidence),
      first_crash,
      is_uncertain,
      last_crash: evidence.last().unwrap_or(first_crash),
    }
  }

  /// Returns whether a ban of the same features stands.
  fn is_banned(&self, ban: &Ban) -> bool {
    self.bans().any(|known| known.features == ban.features)
  }

  /// Returns the features that all crashes under a feature have in common, among them the feature itself.
  fn companions(&self, feature: Feature, evidence: &Evidence) -> Vec<Feature> {
    let mut common: Option<Vec<Feature>> = None;
    for target in evidence.targets.keys() {
      let crashes = self.crashes.iter().map(|record| &record.crash);
      let crashes =
        crashes.filter(|crash| crash.target == *target && crash.features.contains(&feature));
      let features: HashSet<Feature> = crashes
        .flat_map(|crash| {
          crash.features.iter().copied().filter(|other| self.speaks_against(crash, *other))
        })
        .collect();
      match &mut common {
        Some(common) => common.retain(|other| features.contains(other)),
        None => common = Some(features.into_iter().collect()),
      }
    }
    let mut common = common.unwrap_or_default();
    common.sort_unstable();
    common
  }

  /// Adds a ban, unless there is one of the same or of fewer features; returns whether it was added.
  fn insert_ban(&mut self, ban: Ban) -> bool {
    let narrower = self.bans.iter_mut().find(|record| {
      (ban.is_uncertain || !record.ban.is_uncertain)
        && ban::is_subset(&record.ban.features, &ban.features)
    });
    if let Some(record) = narrower {
      if ban.last_crash > record.ban.last_crash + MESSAGE_DELAY {
        record.ban.last_crash = ban.last_crash;
      }
      record.ban.crashes = record.ban.crashes.max(ban.crashes);
      return false;
    }
    // Uncertain bans are derived again if they explain crashes that a certain one does not.
    self.bans.retain(|record| {
      (ban.is_uncertain || !record.ban.is_uncertain)
        && !ban::is_subset(&ban.features, &record.ban.features)
    });
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
