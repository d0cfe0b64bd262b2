use {
  super::*,
  crate::member,
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  std::{
    collections::HashSet,
    time::{Duration, Instant},
  },
};

const FIRST_PART: u64 = 1;
const FATAL_PARTS: [u64; 2] = [100, 101];
/// Time in which all hosts are to know what five crashes show.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests with a fatal part that may reach targets after that.
const MAX_LATE_ARRIVALS: usize = 3;
const STEP: Duration = Duration::from_millis(10);
/// Time from the arrival of a request at a target until the target begins to answer.
const PREFILL: Duration = Duration::from_millis(300);
/// Steps from one judgement of the crashes to the next.
const JUDGE_STEPS: usize = 20;
/// Requests with a fatal part in a second, over all hosts.
const BAD_RATE: f64 = 3.0;
const DOWN: Duration = Duration::from_secs(3);

fn ms(milliseconds: u64) -> Duration {
  Duration::from_millis(milliseconds)
}

fn crash(target: u64, parts: &[u64], at: Instant) -> Crash {
  Crash {
    at,
    parts: parts.to_vec(),
    target,
  }
}

/// Returns a ledger that has seen traffic for a minute, and the present time.
fn ledger() -> (Ledger, Instant) {
  let started_at = Instant::now();
  (
    Ledger::new(started_at),
    started_at + Duration::from_secs(60),
  )
}

fn banned(ledger: &Ledger) -> Vec<Vec<u64>> {
  ledger.bans().map(|ban| ban.parts.clone()).collect()
}

/// Defines a test of the bans that crashes lead to: the parts with a sound answer and when it began,
/// the crashes with their times and parts, and the expected bans, judged 5 s after the start.
macro_rules! bans {
  ($name:ident, [$(($sound:expr, $sound_at:expr)),*], [$(($at:expr, $parts:expr)),*], $expected:expr) => {
    #[test]
    fn $name() {
      let (mut ledger, start) = ledger();
      let sounds: Vec<(u64, i64)> = vec![$(($sound, $sound_at)),*];
      for (part, at) in sounds {
        let at = if at < 0 { start - ms(at.unsigned_abs()) } else { start + ms(at.unsigned_abs()) };
        ledger.record_sound(&[part], at, at + ms(500));
      }
      let crashes: Vec<(u64, Vec<u64>)> = vec![$(($at, $parts.to_vec())),*];
      for (target, (at, parts)) in (0..).zip(crashes) {
        let at = start + ms(at);
        ledger.record_crash(crash(target, &parts, at), true, at);
      }
      ledger.judge(ms(600), start + ms(5_000));
      let expected: &[&[u64]] = &$expected;
      assert_eq!(banned(&ledger), expected);
    }
  };
}

bans!(
  two_crashes_ban_nothing,
  [],
  [(0, [1, 9]), (400, [1, 9])],
  []
);
bans!(
  three_crashes_under_a_part_that_was_never_sound,
  [(1, 10)],
  [(0, [1, 9]), (400, [1, 9]), (800, [1, 9])],
  [&[9]]
);
bans!(
  four_crashes_under_a_part_that_was_sound_before,
  [(1, 1_300), (9, -5_000)],
  [(0, [1, 9]), (400, [1, 9]), (800, [1, 9]), (1_200, [1, 9])],
  []
);
bans!(
  five_crashes_under_a_part_that_was_sound_before,
  [(1, 1_700), (9, -5_000)],
  [
    (0, [1, 9]),
    (400, [1, 9]),
    (800, [1, 9]),
    (1_200, [1, 9]),
    (1_600, [1, 9])
  ],
  [&[9]]
);
bans!(
  sound_answer_after_the_crashes_clears_a_part,
  [(1, 1_000), (9, 1_000)],
  [(0, [1, 9]), (400, [1, 9]), (800, [1, 9])],
  []
);
bans!(
  parts_that_nothing_tells_apart_are_banned_together,
  [],
  [(0, [8, 9]), (400, [8, 9]), (800, [8, 9])],
  [&[8, 9]]
);
bans!(
  part_with_more_crashes_than_its_companions_is_banned_alone,
  [],
  [(0, [7, 9]), (400, [8, 9]), (800, [8, 9])],
  [&[9]]
);
bans!(
  two_fatal_parts_are_banned_each,
  [(1, 2_500)],
  [
    (0, [1, 8]),
    (400, [1, 9]),
    (800, [1, 8]),
    (1_200, [1, 9]),
    (1_600, [1, 8]),
    (2_000, [1, 9])
  ],
  [&[9], &[8]]
);
bans!(
  lost_rack_bans_nothing,
  [],
  [
    (0, [1, 9]),
    (5, [1, 8]),
    (9, [1, 9]),
    (20, [2, 9]),
    (40, [0; 0]),
    (60, [1, 9])
  ],
  []
);

#[test]
fn crash_of_one_target_counts_once_whoever_reports_it() {
  let (mut ledger, start) = ledger();
  for host in 0..10 {
    ledger.record_crash(crash(1, &[9, 20 + host], start), host == 0, start);
  }
  ledger.judge(ms(600), start + ms(5_000));
  assert_eq!(banned(&ledger), Vec::<Vec<u64>>::new());
}

#[test]
fn ban_covers_requests_that_have_all_of_its_parts() {
  let (mut ledger, start) = ledger();
  let ban = Ban {
    crashes: 3,
    first_crash: start,
    last_crash: start,
    parts: vec![8, 9],
  };
  assert!(ledger.merge_ban(ban.clone(), start));
  assert!(!ledger.merge_ban(ban.clone(), start));
  assert_eq!(ledger.check(&[7, 9, 8], false, start), Verdict::Banned(ban));
  assert_eq!(ledger.check(&[7, 9], false, start), Verdict::Allowed);
  assert_eq!(ledger.check(&[], false, start), Verdict::Allowed);
}

#[test]
fn sound_answer_takes_a_part_out_of_a_ban_for_good() {
  let (mut ledger, start) = ledger();
  let ban = Ban {
    crashes: 3,
    first_crash: start,
    last_crash: start + ms(800),
    parts: vec![8, 9],
  };
  ledger.merge_ban(ban.clone(), start + ms(900));
  ledger.record_sound(&[8], start + ms(500), start + ms(1_000));
  assert_eq!(banned(&ledger), [[9]]);
  assert!(!ledger.merge_ban(ban, start + ms(1_100)));
  assert_eq!(banned(&ledger), [[9]]);
  // The other hosts are told, as one of them still had the part in its ban.
  let announced: Vec<u64> =
    ledger.announced_sounds(start + ms(1_200)).map(|sound| sound.part).collect();
  assert_eq!(announced, [8]);
  ledger.merge_sound(Sound {
    began_at: start + ms(900),
    part: 9,
  });
  assert_eq!(banned(&ledger), Vec::<Vec<u64>>::new());
}

#[test]
fn part_of_a_ban_that_occurs_alone_is_banned_alone() {
  let (mut ledger, start) = ledger();
  for target in 0..3 {
    let at = start + ms(400 * target);
    ledger.record_crash(crash(target, &[8, 9], at), true, at);
  }
  ledger.judge(ms(600), start + ms(1_000));
  assert_eq!(banned(&ledger), [[8, 9]]);
  for target in 3..5 {
    let at = start + ms(400 * target);
    ledger.record_crash(crash(target, &[7, 9], at), true, at);
    ledger.judge(ms(600), at);
  }
  assert_eq!(banned(&ledger), [[9]]);
}

#[test]
fn one_host_lets_one_request_through_after_a_long_time() {
  let (mut ledger, start) = ledger();
  let ban = Ban {
    crashes: 3,
    first_crash: start,
    last_crash: start,
    parts: vec![9],
  };
  ledger.merge_ban(ban.clone(), start);
  let later = start + Duration::from_secs(601);
  assert_eq!(
    ledger.check(&[9], true, start + ms(1_000)),
    Verdict::Banned(ban.clone())
  );
  assert_eq!(
    ledger.check(&[9], false, later),
    Verdict::Banned(ban.clone())
  );
  assert_eq!(ledger.check(&[9], true, later), Verdict::Trial);
  assert_eq!(
    ledger.check(&[9], true, later + ms(10)),
    Verdict::Banned(ban)
  );
  ledger.record_sound(&[9], later + ms(400), later + ms(900));
  assert_eq!(ledger.check(&[9], false, later + ms(900)), Verdict::Allowed);
}

#[test]
fn state_stays_bounded() {
  let (mut ledger, start) = ledger();
  for index in 0..2_000 {
    let at = start + ms(index * 10);
    let parts: Vec<u64> = (0..40).map(|part| index * 40 + part).collect();
    ledger.record_sound(&parts, at, at);
    ledger.record_crash(crash(index, &parts, at), true, at);
    ledger.merge_ban(
      Ban {
        crashes: 3,
        first_crash: at,
        last_crash: at,
        parts: vec![1 << 40 | index],
      },
      at,
    );
  }
  assert!(ledger.bans().count() <= 64);
  assert!(ledger.announced_crashes(start + ms(20_000)).count() <= 256);
  assert!(ledger.announced_sounds(start + ms(20_000)).count() <= 4096);
}

/// A request that runs at a target.
struct Run {
  begins_at: Instant,
  host: usize,
  parts: Vec<u64>,
  reported: bool,
  target: usize,
}

enum News {
  Ban(Ban),
  Crash(Crash),
  Sound(Sound),
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
  /// Number of fatal parts.
  fatal_parts: usize,
  hosts: usize,
  /// Fraction of the messages between hosts that are lost.
  loss: f64,
  /// Number of targets that are lost at the same moment, for another reason.
  rack: usize,
  /// Whether hosts restart, and some are cut off from the others for a time.
  restarts: bool,
  seed: u64,
  /// Whether the fatal parts were sound at first.
  turns_bad: bool,
}

/// A simulated fleet and its targets.
struct Fleet {
  crashes: Vec<(Instant, Vec<u64>)>,
  hosts: Vec<Ledger>,
  /// When each target runs again, and the number of its process.
  targets: Vec<(Instant, u64)>,
  in_flight: Vec<(Instant, usize, News)>,
  late_arrivals: [usize; 2],
  now: Instant,
  random: StdRng,
  runs: Vec<Run>,
  scenario: Scenario,
  sound_refused: usize,
  sound_sent: usize,
  start: Instant,
}

impl Fleet {
  fn new(scenario: Scenario) -> Self {
    let start = Instant::now();
    Self {
      crashes: Vec::new(),
      hosts: vec![Ledger::new(start); scenario.hosts],
      targets: vec![(start, 0); 18],
      in_flight: Vec::new(),
      late_arrivals: [0; 2],
      now: start,
      random: StdRng::seed_from_u64(scenario.seed),
      runs: Vec::new(),
      scenario,
      sound_refused: 0,
      sound_sent: 0,
      start,
    }
  }

  fn elapsed(&self) -> Duration {
    self.now - self.start
  }

  fn chance(&mut self, per_second: f64) -> bool {
    self.random.random_range(0.0..1.0) < per_second * STEP.as_secs_f64()
  }

  fn is_fatal(&self, parts: &[u64]) -> bool {
    let fatal = &FATAL_PARTS[..self.scenario.fatal_parts];
    let is_bad_now = !self.scenario.turns_bad || self.elapsed() >= Duration::from_secs(20);
    is_bad_now && parts.iter().any(|part| fatal.contains(part))
  }

  /// Sends a request to a random host, and from there to a target unless it is refused.
  fn send(&mut self, mut parts: Vec<u64>) {
    parts.push(self.random.random_range(0..20) + 10);
    let host = self.random.random_range(0..self.hosts.len());
    let is_sound = !self.is_fatal(&parts);
    self.sound_sent += usize::from(is_sound);
    if self.hosts[host].check(&parts, host == 0, self.now) != Verdict::Allowed {
      self.sound_refused += usize::from(is_sound);
      return;
    }
    let up: Vec<usize> =
      (0..self.targets.len()).filter(|i| self.targets[*i].0 <= self.now).collect();
    if up.is_empty() {
      return;
    }
    for (index, part) in FATAL_PARTS.iter().enumerate() {
      let under_part: Vec<Instant> =
        self.crashes.iter().filter(|(_, parts)| parts.contains(part)).map(|(at, _)| *at).collect();
      let is_late = under_part.get(4).is_some_and(|fifth| self.now >= *fifth + CONTACT);
      self.late_arrivals[index] += usize::from(is_late && parts.contains(part));
    }
    self.runs.push(Run {
      begins_at: self.now + PREFILL,
      host,
      parts,
      reported: false,
      target: up[self.random.random_range(0..up.len())],
    });
  }

  /// Ends a process; every host with a run there reports the crash.
  fn crash(&mut self, target: usize, parts: &[u64]) {
    let process = self.targets[target].1 * 1_000 + target as u64;
    self.targets[target] = (self.now + DOWN, self.targets[target].1 + 1);
    self.crashes.push((self.now, parts.to_vec()));
    let now = self.now;
    for run in self.runs.extract_if(.., |run| run.target == target) {
      let is_suspect = now < run.begins_at + SOUND_AFTER;
      let parts = if is_suspect { run.parts } else { Vec::new() };
      self.hosts[run.host].record_crash(crash(process, &parts, now), true, now);
    }
  }

  fn step(&mut self) {
    self.now += STEP;
    let second = self.elapsed().as_secs();
    if self.chance(16.0) {
      let first_part = FIRST_PART + u64::from(self.random.random_range(0.0..1.0) < 0.4);
      self.send(vec![first_part]);
    }
    let bad_rate = if self.scenario.turns_bad || second >= 20 {
      BAD_RATE / self.scenario.fatal_parts.max(1) as f64
    } else {
      0.0
    };
    for part in &FATAL_PARTS[..self.scenario.fatal_parts] {
      if self.chance(bad_rate) {
        self.send(vec![FIRST_PART, *part]);
      }
    }
    if self.scenario.rack > 0 && self.elapsed() == Duration::from_secs(25) {
      for target in 0..self.scenario.rack {
        self.crash(target, &[]);
      }
    }
    // A fleet that loses all of its hosts within a heartbeat forgets everything.
    if self.scenario.restarts && self.hosts.len() >= 6 && second >= 15 && self.chance(0.5) {
      let host = self.random.random_range(0..self.hosts.len());
      self.hosts[host] = Ledger::new(self.now);
      self.runs.retain(|run| run.host != host);
    }
    let begun: Vec<(usize, Vec<u64>)> = self
      .runs
      .iter()
      .filter(|run| run.begins_at == self.now && self.is_fatal(&run.parts))
      .map(|run| (run.target, run.parts.clone()))
      .collect();
    for (target, parts) in begun {
      if self.targets[target].0 <= self.now {
        self.crash(target, &parts);
      }
    }
    let now = self.now;
    for run in &mut self.runs {
      if !run.reported && now >= run.begins_at + SOUND_AFTER {
        run.reported = true;
        self.hosts[run.host].record_sound(&run.parts, run.begins_at, now);
      }
    }
    self.runs.retain(|run| now < run.begins_at + Duration::from_secs(2));
    self.exchange_news();
  }

  fn is_cut_off(&self, host: usize) -> bool {
    let second = self.elapsed().as_secs();
    self.scenario.restarts && host % 7 == 3 && (21..24).contains(&second)
  }

  fn exchange_news(&mut self) {
    let now = self.now;
    let interval = member::heartbeat_interval(self.hosts.len());
    let steps = (interval.as_millis() / STEP.as_millis()) as usize;
    let step = (self.elapsed().as_millis() / STEP.as_millis()) as usize;
    for host in 0..self.hosts.len() {
      if (step + host).is_multiple_of(JUDGE_STEPS) {
        self.hosts[host].judge(interval * 2, now);
      }
      if !(step + host).is_multiple_of(steps) {
        continue;
      }
      let ledger = &self.hosts[host];
      let crashes = ledger.announced_crashes(now).take(8).cloned().map(News::Crash);
      let mut sounds: Vec<Sound> = ledger.announced_sounds(now).collect();
      sounds.sort_by_key(|sound| (sound.began_at, sound.part));
      let sounds = sounds.into_iter().rev().take(16).map(News::Sound);
      let news: Vec<News> =
        sounds.chain(ledger.bans().cloned().map(News::Ban)).chain(crashes).collect();
      for recipient in 0..self.hosts.len() {
        let is_lost = self.random.random_range(0.0..1.0) < self.scenario.loss;
        let is_cut = self.is_cut_off(host) != self.is_cut_off(recipient);
        if recipient == host || is_lost || is_cut {
          continue;
        }
        let arrives_at = now + ms(self.random.random_range(0..4) * 10);
        self.in_flight.extend(news.iter().map(|item| (arrives_at, recipient, item.clone())));
      }
    }
    for (_, recipient, news) in self.in_flight.extract_if(.., |(at, ..)| *at <= now) {
      let ledger = &mut self.hosts[recipient];
      match news {
        News::Ban(ban) => drop(ledger.merge_ban(ban, now)),
        News::Crash(crash) => drop(ledger.record_crash(crash, false, now)),
        News::Sound(sound) => ledger.merge_sound(sound),
      }
    }
  }

  fn run(scenario: Scenario) -> Self {
    let mut fleet = Self::new(scenario);
    while fleet.elapsed() < Duration::from_secs(45) {
      fleet.step();
    }
    fleet
  }

  /// Returns the parts that some host keeps away and that are not fatal.
  fn wrongly_banned(&self) -> HashSet<u64> {
    let bans = self.hosts.iter().flat_map(Ledger::bans);
    let alone = bans.filter(|ban| ban.parts.len() == 1).map(|ban| ban.parts[0]);
    alone.filter(|part| !FATAL_PARTS.contains(part)).collect()
  }
}

impl Clone for News {
  fn clone(&self) -> Self {
    match self {
      Self::Ban(ban) => Self::Ban(ban.clone()),
      Self::Crash(crash) => Self::Crash(crash.clone()),
      Self::Sound(sound) => Self::Sound(*sound),
    }
  }
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

  /// Guards against hosts that keep sending requests with a fatal part to targets, or that refuse
  /// sound requests for it: whatever the number of hosts, lost messages, restarts and hosts that
  /// are cut off.
  #[test]
  fn fleet_keeps_fatal_parts_and_only_those_away(
    hosts in prop::sample::select(vec![1_usize, 2, 6, 12, 30]),
    fatal_parts in 1..=2_usize,
    loss in prop::sample::select(vec![0.0, 0.1, 0.3]),
    rack in prop::sample::select(vec![0_usize, 6]),
    restarts: bool,
    turns_bad: bool,
    seed: u64,
  ) {
    let fleet = Fleet::run(Scenario { fatal_parts, hosts, loss, rack, restarts, seed, turns_bad });
    for late in fleet.late_arrivals {
      prop_assert!(late <= MAX_LATE_ARRIVALS, "{late} late requests");
    }
    prop_assert!(fleet.wrongly_banned().is_empty(), "{:?}", fleet.wrongly_banned());
    // At most one in a hundred sound requests is refused while the blame is not settled.
    prop_assert!(fleet.sound_refused * 100 <= fleet.sound_sent,
      "{} of {} refused", fleet.sound_refused, fleet.sound_sent);
  }

  /// Guards against blaming prompts for targets that are lost for another reason.
  #[test]
  fn lost_racks_refuse_no_request(
    hosts in prop::sample::select(vec![1_usize, 2, 6, 12, 30]),
    loss in prop::sample::select(vec![0.0, 0.3]),
    rack in 1..=18_usize,
    seed: u64,
  ) {
    let scenario = Scenario {
      fatal_parts: 0, hosts, loss, rack, restarts: false, seed, turns_bad: false,
    };
    let fleet = Fleet::run(scenario);
    prop_assert_eq!(fleet.sound_refused, 0);
  }
}

/// Guards against news that reach a fleet of hundreds of hosts too late: each host sees one crash at
/// most.
#[test]
fn large_fleet_learns_from_crashes_of_which_each_host_sees_one_at_most() {
  let fleet = Fleet::run(Scenario {
    fatal_parts: 1,
    hosts: 295,
    loss: 0.1,
    rack: 0,
    restarts: false,
    seed: 7,
    turns_bad: false,
  });
  assert!(fleet.late_arrivals[0] <= MAX_LATE_ARRIVALS);
  assert!(fleet.wrongly_banned().is_empty());
  assert!(fleet.sound_refused * 100 <= fleet.sound_sent);
}
