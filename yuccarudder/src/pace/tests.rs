use {
  super::*,
  crate::{
    placement::{self, Candidate, Choice, Demand, Load},
    roster::Key,
  },
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  slotmap::SlotMap,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
  yare::parameterized,
};

const CAPACITY: u64 = 30_000;
/// Number of hosts; each tells of a target every 3 s.
const HOSTS: usize = 60;
const LIMIT: Duration = ms(180);
const MAX_SURCHARGE: f64 = 3.0;

/// A long stream with a short prompt.
const LONG_STREAM: Request = Request {
  capacity_tokens: CAPACITY,
  events: 400.0,
  pause_limit: LIMIT,
  prompt_tokens: 200,
};
/// A short answer to a short prompt.
const SHORT_STREAM: Request = Request {
  events: 3.0,
  ..LONG_STREAM
};
/// A short answer to a long prompt.
const LONG_PROMPT: Request = Request {
  events: 3.0,
  prompt_tokens: 3_000,
  ..LONG_STREAM
};

const fn ms(milliseconds: u64) -> Duration {
  Duration::from_millis(milliseconds)
}

fn sample(gaps: u32, gap_ms: u64, broken: u32) -> Sample {
  Sample {
    broken,
    gaps,
    limit: LIMIT,
    streamed: ms(u64::from(gaps) * gap_ms),
  }
}

/// Returns a table of targets that are given by their gap in milliseconds, each of which streamed for 5 minutes. Pauses
/// break the limit only at gaps of at least 40 ms, every 30 s, so that half of the long streams there have one.
fn table(gaps_ms: &[u64], now: Instant) -> Table {
  let mut table = Table::default();
  for (target, gap_ms) in gaps_ms.iter().enumerate() {
    let gaps = u32::try_from(300_000 / gap_ms).unwrap();
    let broken = if *gap_ms >= 40 { 10 } else { 0 };
    table.record(target as u64, sample(gaps, *gap_ms, broken), now);
  }
  table
}

fn surcharges(
  table: &Table,
  targets: &[u64],
  request: &Request,
  streams: u32,
  now: Instant,
) -> Vec<f64> {
  let Some(survey) = table.survey(targets, request, now) else {
    return vec![0.0; targets.len()];
  };
  let surcharge = |target: &u64| table.surcharge(*target, streams, request, &survey, now);
  targets.iter().map(surcharge).collect()
}

/// Chooses one of the targets with the given surcharges and loads; returns its index.
fn choose(surcharges: &[f64], loads: &[Load], fraction: f64, random: &mut StdRng) -> Option<usize> {
  let mut slots: SlotMap<Key, ()> = SlotMap::with_key();
  let keys: Vec<Key> = surcharges.iter().map(|_| slots.insert(())).collect();
  let demand = Demand {
    last_resort: false,
    capacity_tokens: Some(CAPACITY),
    expected_tokens: 4_000,
  };
  let candidates =
    keys.iter().zip(surcharges).zip(loads).map(|((key, surcharge), load)| Candidate {
      granted: true,
      surcharge: *surcharge,
      cold_limited: false,
      ejected: false,
      key: *key,
      load: *load,
      local: true,
      paused_until: None,
      room: None,
      slots: 24,
      tried: false,
    });
  let choice = placement::choose(candidates, &demand, fraction, || {
    random.random_range(0.0..1.0)
  });
  match choice {
    Choice::Chosen(chosen) => keys.iter().position(|key| *key == chosen),
    _ => None,
  }
}

/// Returns how often each target is chosen by 200 requests that find all of them equally loaded.
fn choices(table: &Table, targets: &[u64], request: &Request, now: Instant) -> Vec<usize> {
  let surcharges = surcharges(table, targets, request, 4, now);
  let loads = vec![Load::default(); targets.len()];
  let mut random = StdRng::seed_from_u64(1);
  let mut counts = vec![0; targets.len()];
  for _ in 0..200 {
    counts[choose(&surcharges, &loads, 1.0, &mut random).unwrap()] += 1;
  }
  counts
}

/// Guards against long streams at slow engines, where half of them pause for longer than their limit.
#[test]
fn long_streams_go_where_pauses_keep_their_limit() {
  let now = Instant::now();
  let table = table(&[20, 55, 22, 60], now);
  let counts = choices(&table, &[0, 1, 2, 3], &LONG_STREAM, now);
  assert_eq!((counts[1], counts[3]), (0, 0), "{counts:?}");
  assert!(counts[0].min(counts[2]) >= 40, "{counts:?}");
}

/// Guards against long streams at fast engines when their full use costs more than the risk elsewhere.
#[test]
fn full_fast_target_loses_to_an_empty_slow_one() {
  let now = Instant::now();
  let table = table(&[20, 55], now);
  let surcharges = surcharges(&table, &[0, 1], &LONG_STREAM, 4, now);
  let full = Load {
    requests: 6,
    expected_tokens: 27_000,
    ..Load::default()
  };
  let loads = [full, Load::default()];
  let mut random = StdRng::seed_from_u64(1);
  assert_eq!(choose(&surcharges, &loads, 1.0, &mut random), Some(1));
}

/// Guards against prompts that lengthen the pauses of long streams which already run within reach of their limit.
#[test]
fn long_prompts_avoid_targets_where_streams_are_within_reach_of_the_limit() {
  let now = Instant::now();
  let table = table(&[20, 55], now);
  let targets = [0, 1];
  let survey = table.survey(&targets, &LONG_PROMPT, now).unwrap();
  let at = |target, streams| table.surcharge(target, streams, &LONG_PROMPT, &survey, now);
  let harm_at_fast = at(0, 10) - at(0, 0);
  let harm_at_slow = at(1, 10) - at(1, 0);
  assert!(harm_at_fast.abs() < 1e-9, "{harm_at_fast}");
  // Ten streams break 0.033 / 0.4 limits a second each while prompts are prefilled, and this one takes 0.45 s or more.
  assert!(harm_at_slow > 0.2, "{harm_at_slow}");
  assert!(at(1, 10) > at(0, 10) + 0.2);
}

/// Guards against fast engines that short requests fill, so that long streams find no room there.
#[test]
fn short_requests_use_slow_targets_too() {
  let now = Instant::now();
  let table = table(&[20, 45], now);
  let request = Request {
    prompt_tokens: 0,
    ..SHORT_STREAM
  };
  let counts = choices(&table, &[0, 1], &request, now);
  assert!(counts[1] >= 30, "{counts:?}");
}

/// Guards against wrong lessons of requests without a limit: they count for the pace alone.
#[test]
fn samples_without_a_limit_count_for_the_pace_only() {
  let now = Instant::now();
  let mut table = Table::default();
  let unlimited = Sample {
    limit: Duration::ZERO,
    ..sample(500, 50, 20)
  };
  table.record(1, unlimited, now);
  assert_eq!((table.len(), table.total_rate(now)), (1, 0.0));
  let news = table.take_news(HOSTS, now + Duration::from_secs(3));
  assert_eq!((news[0].gaps, news[0].exposure.len()), (500, 0));
}

/// Guards against a target without a record that gets no requests or all of them: it is at the mean of the others.
#[test]
fn restarted_target_starts_from_the_mean() {
  let now = Instant::now();
  let slow_before = 1;
  let table = table(&[20, 60, 20, 60], now);
  let (restarted, new) = (1_001, 1_002);
  let targets = [0, slow_before, 2, 3, restarted, new];
  let surcharges = surcharges(&table, &targets, &LONG_STREAM, 4, now);
  assert!(surcharges[4] < surcharges[1], "{surcharges:?}");
  assert!(surcharges[4] > surcharges[0], "{surcharges:?}");
  assert_eq!(surcharges[4], surcharges[5]);
}

/// Guards against a frozen or cut-off host that goes on by what it knew long ago.
#[test]
fn stale_state_fades() {
  let now = Instant::now();
  let table = table(&[20, 60], now);
  let difference = |age_s| {
    let surcharges = surcharges(
      &table,
      &[0, 1],
      &LONG_STREAM,
      10,
      now + Duration::from_secs(age_s),
    );
    surcharges[1] - surcharges[0]
  };
  let differences = [0, 60, 180, 600].map(difference);
  assert!(differences.is_sorted_by(|a, b| a > b), "{differences:?}");
  assert!(differences[0] > 0.3, "{differences:?}");
  assert!(differences[3].abs() < 0.01, "{differences:?}");
  let years = Duration::from_secs(1_000_000_000);
  for request in [LONG_STREAM, LONG_PROMPT] {
    for surcharge in surcharges(&table, &[0, 1, 7], &request, 10, now + years) {
      assert!(surcharge.abs() < 1e-9, "{surcharge}");
    }
  }
}

/// Guards against an engine that is avoided long after it has recovered.
#[test]
fn violations_are_forgotten_with_their_half_life() {
  let now = Instant::now();
  let mut table = Table::default();
  table.record(1, sample(200, 50, 8), now);
  assert!((table.total_rate(now) - 0.8).abs() < 1e-9);
  let later = now + Duration::from_secs(30);
  table.record(1, sample(300, 50, 0), later);
  // Four violations in 5 s, and none in 15 s.
  assert!((table.total_rate(later) - 0.2).abs() < 1e-9);
}

/// Guards against the silence of hosts, among them older builds, that counts as a pace of zero.
#[test]
fn host_without_news_is_neutral() {
  let now = Instant::now();
  let table = Table::default();
  assert!(table.survey(&[1, 2], &LONG_STREAM, now).is_none());
  let mut known = Table::default();
  known.record(1, sample(500, 50, 20), now);
  let survey = known.survey(&[2, 3], &LONG_STREAM, now);
  assert!(survey.is_none(), "no target of the service has a record");
}

/// Guards against hosts that do not learn what the others see, and against sums that count twice.
#[test]
fn news_tell_another_host_what_this_one_saw_once() {
  let now = Instant::now();
  let mut sender = table(&[20, 55, 22, 60], now);
  assert!(sender.take_news(HOSTS, now + ms(2_900)).is_empty());
  let sent_at = now + ms(3_000);
  let news = sender.take_news(HOSTS, sent_at);
  assert_eq!(news.len(), 4);
  assert!(sender.take_news(HOSTS, sent_at + ms(10_000)).is_empty());
  let mut receiver = Table::default();
  for message in &news {
    assert!(receiver.merge(message, sent_at));
  }
  let targets = [0, 1, 2, 3];
  let own = surcharges(&sender, &targets, &LONG_STREAM, 4, sent_at);
  let learned = surcharges(&receiver, &targets, &LONG_STREAM, 4, sent_at);
  for (own, learned) in own.iter().zip(&learned) {
    assert!((own - learned).abs() < 0.1, "{own} {learned}");
  }
}

/// Guards against heartbeats of large fleets that grow with the number of hosts.
#[test]
fn more_hosts_tell_less_often() {
  let now = Instant::now();
  for (hosts, interval_ms) in [(1, 2_000), (82, 4_100), (301, 15_050), (usize::MAX, 20_000)] {
    let mut table = table(&[20], now);
    assert!(table.take_news(hosts, now + ms(interval_ms - 1)).is_empty());
    assert_eq!(table.take_news(hosts, now + ms(interval_ms)).len(), 1);
  }
}

/// Guards against heartbeats that grow: the news of a target take about 30 bytes, every 3 s.
#[test]
fn news_of_a_target_are_small() {
  let now = Instant::now();
  let mut table = table(&[55], now);
  let news = table.take_news(HOSTS, now + Duration::from_secs(3));
  let size = prost::Message::encoded_len(&news[0]);
  assert!(size <= 30, "{size}");
}

/// Guards against 60 hosts with the same picture that all choose the same target.
#[test]
fn hosts_with_the_same_picture_choose_different_targets() {
  let now = Instant::now();
  let gaps_ms: Vec<u64> = (0..44).map(|target| if target % 2 == 0 { 20 } else { 55 }).collect();
  let table = table(&gaps_ms, now);
  let targets: Vec<u64> = (0..44).collect();
  let surcharges = surcharges(&table, &targets, &LONG_STREAM, 4, now);
  let loads = vec![Load::default(); 44];
  let mut counts: HashMap<usize, usize> = HashMap::new();
  for host in 0..60 {
    let mut random = StdRng::seed_from_u64(host);
    let fraction = placement::sample_fraction(60);
    let chosen = choose(&surcharges, &loads, fraction, &mut random).unwrap();
    *counts.entry(chosen).or_default() += 1;
  }
  assert!(counts.values().all(|count| *count <= 12), "{counts:?}");
  assert!(counts.len() >= 12, "{counts:?}");
  let at_slow: usize =
    counts.iter().filter(|(target, _)| *target % 2 == 1).map(|(_, count)| count).sum();
  assert!(at_slow <= 12, "{counts:?}");
}

/// Guards against a host that claims an impossible pace for a target, so that it takes all requests or none get
/// through.
#[parameterized(
  infinitely_fast = { 500, 0 },
  stopped = { 500, u32::MAX },
  no_gaps = { 0, u32::MAX },
  all_largest = { u32::MAX, u32::MAX },
)]
fn impossible_pace_leaves_the_requests_spread(gaps: u32, streamed_ms: u32) {
  let now = Instant::now();
  let mut table = table(&[20; 12], now);
  let message = Message {
    target: 3,
    gaps,
    streamed_ms,
    exposure: vec![Exposure {
      bucket: u32::MAX,
      streamed_ms: u32::MAX,
      broken: u32::MAX,
    }],
  };
  assert!(!table.merge(&message, now));
  let targets: Vec<u64> = (0..12).collect();
  let mut loads = vec![Load::default(); 12];
  let mut random = StdRng::seed_from_u64(1);
  for _ in 0..48 {
    let surcharges = surcharges(&table, &targets, &LONG_STREAM, 4, now);
    let chosen = choose(&surcharges, &loads, 1.0, &mut random).unwrap();
    loads[chosen].requests += 1;
    loads[chosen].expected_tokens += 4_000;
  }
  let requests: Vec<u32> = loads.iter().map(|load| load.requests).collect();
  // 7 requests fill a target.
  assert!(requests.iter().all(|count| *count <= 7), "{requests:?}");
  let used = requests.iter().filter(|count| **count >= 2).count();
  assert!(used >= 11, "{requests:?}");
}

/// Guards against memory that grows with what other hosts send.
#[test]
fn state_and_heartbeats_stay_bounded() {
  let now = Instant::now();
  let mut table = Table::default();
  for target in 0..1_000_000 {
    let message = Message {
      target,
      gaps: 16,
      streamed_ms: 500,
      exposure: Vec::new(),
    };
    table.merge(&message, now);
    table.record(target, sample(16, 30, 0), now);
  }
  assert_eq!(table.len(), 2_048);
  let later = now + Duration::from_secs(3);
  let mut sent = 0;
  loop {
    let news = table.take_news(HOSTS, later);
    if news.is_empty() {
      break;
    }
    assert!(news.len() <= 64);
    sent += news.len();
  }
  assert_eq!(sent, 2_048);
  table.retain(|target| target < 10);
  assert_eq!(table.len(), 10);
}

fn exposure() -> impl Strategy<Value = Exposure> {
  let number = || prop_oneof![Just(0), Just(u32::MAX), 0..100_000_u32, any::<u32>()];
  (number(), number(), number()).prop_map(|(bucket, streamed_ms, broken)| Exposure {
    bucket,
    streamed_ms,
    broken,
  })
}

fn message() -> impl Strategy<Value = Message> {
  let number = || prop_oneof![Just(0), Just(u32::MAX), 0..100_000_u32, any::<u32>()];
  let exposure = prop::collection::vec(exposure(), 0..40);
  (0..6_u64, number(), number(), exposure).prop_map(|(target, gaps, streamed_ms, exposure)| {
    Message {
      target,
      gaps,
      streamed_ms,
      exposure,
    }
  })
}

fn duration() -> impl Strategy<Value = Duration> {
  prop_oneof![
    Just(Duration::ZERO),
    Just(Duration::MAX),
    (0..10_000_u64).prop_map(ms),
    any::<u64>().prop_map(Duration::from_nanos),
  ]
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

  /// Guards against panics and unlimited costs because of impossible numbers.
  #[test]
  fn surcharge_is_bounded_whatever_is_recorded(
    messages in prop::collection::vec((message(), 0..100_000_u64), 0..20),
    samples in prop::collection::vec(
      (0..6_u64, any::<u32>(), any::<u32>(), duration(), duration()), 0..20),
    events in prop_oneof![Just(0.0), Just(1e19), 0.0..1e6],
    pause_limit in duration(),
    prompt_tokens: u64,
    capacity_tokens: u64,
    streams: u32,
  ) {
    let start = Instant::now();
    let mut table = Table::default();
    for (message, at) in &messages {
      table.merge(message, start + ms(*at));
    }
    for (target, broken, gaps, limit, streamed) in samples {
      table.record(target, Sample { broken, gaps, limit, streamed }, start);
    }
    let request = Request { capacity_tokens, events, pause_limit, prompt_tokens };
    for age in [0, 1, 1_000, 10_000_000] {
      let now = start + ms(age);
      for surcharge in surcharges(&table, &[0, 1, 2, 3, 4, 5, 6], &request, streams, now) {
        prop_assert!(surcharge.abs() <= MAX_SURCHARGE, "{surcharge}");
      }
      prop_assert!(table.total_rate(now).is_finite());
    }
  }

  /// Guards against a part that changes the placement at engines of equal pace: the choices are those without it, by the
  /// same random numbers.
  #[test]
  fn equal_paces_change_no_choice(
    gap_ms in 5..100_u64,
    parts in prop::collection::vec((1..400_u32, 0..5_u32, 100..1_000_u64), 8),
    loads in prop::collection::vec((0..10_u32, 0..20_000_u64, 0..3_000_u64), 8),
    events in 0.0..2_000.0,
    prompt_tokens in 0..20_000_u64,
    age_ms in 0..100_000_u64,
    seed: u64,
  ) {
    let start = Instant::now();
    let mut table = Table::default();
    // One target has no record.
    for (target, (gaps, broken, limit)) in (0..7_u64).zip(&parts) {
      let sample = Sample { limit: ms(*limit), ..sample(*gaps, gap_ms, *broken) };
      table.record(target, sample, start);
    }
    let now = start + ms(age_ms);
    let targets: Vec<u64> = (0..8).collect();
    let request = Request { events, prompt_tokens, ..LONG_STREAM };
    let survey = table.survey(&targets, &request, now).unwrap();
    let loads: Vec<Load> = loads.into_iter().map(|(requests, expected_tokens, prefill_tokens)| {
      Load { requests, expected_tokens, prefill_tokens, ..Load::default() }
    }).collect();
    let surcharges: Vec<f64> = targets.iter().zip(&loads).map(|(target, load)| {
      table.surcharge(*target, load.requests, &request, &survey, now)
    }).collect();
    let mut random = StdRng::seed_from_u64(seed);
    let mut same_random = StdRng::seed_from_u64(seed);
    for _ in 0..20 {
      let with = choose(&surcharges, &loads, 0.6, &mut random);
      let without = choose(&[0.0; 8], &loads, 0.6, &mut same_random);
      prop_assert_eq!(with, without);
    }
  }
}

/// Feeds a meter with the events of a target, given by their times in milliseconds; returns its samples.
fn measure(meter: &mut Meter, target: u64, start: Instant, times_ms: &[u64]) -> Vec<(u64, Sample)> {
  let observe = |time| meter.observe(target, 1, LIMIT, start + ms(time));
  times_ms.iter().copied().filter_map(observe).collect()
}

/// Guards against samples that miss events or count them twice.
#[test]
fn meter_yields_a_sample_every_16_gaps_and_at_the_end() {
  let mut meter = Meter::default();
  let start = Instant::now();
  let times: Vec<u64> = (0..37).map(|index| index * 20).collect();
  let samples = measure(&mut meter, 1, start, &times);
  assert_eq!(samples, [(1, sample(16, 20, 0)); 2]);
  assert_eq!(meter.finish(LIMIT), Some((1, sample(4, 20, 0))));
  assert_eq!(meter.finish(LIMIT), None);
}

/// Defines a test of the sample at the end of a short stream, from the times of its events and the expected gaps,
/// streamed milliseconds and violations.
macro_rules! measures {
  ($name:ident, $times:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut meter = Meter::default();
      assert_eq!(measure(&mut meter, 1, Instant::now(), &$times), []);
      let sample = meter.finish(LIMIT);
      let sample = sample.map(|(_, sample)| (sample.gaps, sample.streamed, sample.broken));
      let expected: Option<(u32, u64, u32)> = $expected;
      assert_eq!(
        sample,
        expected.map(|(gaps, streamed, broken)| (gaps, ms(streamed), broken))
      );
    }
  };
}

measures!(stream_without_events, [], None);
measures!(stream_with_one_gap, [0, 20], None);
measures!(stream_with_two_gaps, [0, 20, 50], Some((2, 50, 0)));
measures!(pause_at_the_limit, [0, 180, 200], Some((2, 200, 0)));
measures!(pause_above_the_limit, [0, 181, 200], Some((2, 200, 1)));
measures!(
  preemption_says_nothing_about_the_pace,
  [0, 20, 1_020, 1_040],
  Some((2, 40, 0))
);

/// Guards against pauses of a move or of a slow caller that count as pauses of the target.
#[test]
fn gaps_across_moves_and_interruptions_are_left_out() {
  let mut meter = Meter::default();
  let start = Instant::now();
  measure(&mut meter, 1, start, &[0, 20, 40]);
  let samples = measure(&mut meter, 2, start, &[400, 420]);
  assert_eq!(samples, [(1, sample(2, 20, 0))]);
  meter.interrupt();
  measure(&mut meter, 2, start, &[900, 920]);
  assert_eq!(meter.finish(LIMIT), Some((2, sample(2, 20, 0))));
}

/// Guards against targets that seem slow because several of their events arrive together.
#[test]
fn events_that_arrive_together_count_each() {
  let mut meter = Meter::default();
  let start = Instant::now();
  meter.observe(1, 3, LIMIT, start);
  meter.observe(1, 4, LIMIT, start + ms(80));
  assert_eq!(meter.finish(LIMIT), Some((1, sample(4, 20, 0))));
}
