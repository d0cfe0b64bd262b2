use {
  super::{
    Exposure, Hazard, Message, Request, Sample, Survey,
    hazard::{self, decay},
  },
  crate::placement::PREFILL_TOKEN_WEIGHT,
  libm::{exp, log},
  std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
  },
};

/// Cost of a stream that breaks its pause limit, in the unit of a target's whole KV cache.
const OWN_RISK_WEIGHT: f64 = 1.0;
/// The same for streams that run at the target already.
const SHARED_RISK_WEIGHT: f64 = 1.0;
/// Weight of a slower prefill, relative to that of the prompt in the cost of a target.
const SLOW_PREFILL_WEIGHT: f64 = 1.0;
/// Largest surcharge and largest deduction. A wrong pace then weighs no more than some full KV caches, and the
/// limits of capacity decide.
const MAX_SURCHARGE: f64 = 3.0;
/// Share of the time in which an engine prefills a prompt, measured on a quiet day: prompts of 144,000 tokens a second
/// on 44 engines that prefill 7,000 a second each.
const PREFILL_TIME_SHARE: f64 = 0.4;
/// Time to prefill a token at a target of mean pace, in seconds, from the same measurement.
const PREFILL_SECONDS: f64 = 0.000_15;
/// Bounds of the gap of a target relative to the mean.
const MIN_RELATIVE_GAP: f64 = 0.25;
const MAX_RELATIVE_GAP: f64 = 4.0;
/// Number of gaps from which the record of a target counts as much as the mean of the others.
const PRIOR_GAPS: f64 = 32.0;
/// Largest number of gaps that counts for the weight of a record, so that each one fades within minutes.
const MAX_WEIGHT_GAPS: f64 = 512.0;
/// Bounds of the mean gap of a sample, in seconds.
const MIN_GAP: f64 = 0.001;
const MAX_GAP: f64 = 10.0;
/// Largest number of gaps that counts of one message; a host relays fewer between two messages.
const MAX_MESSAGE_GAPS: u32 = 1 << 16;
/// Largest number of parts that counts of one message, which is the number of buckets.
const MAX_EXPOSURES: usize = 32;
const MAX_TARGETS: usize = 2_048;
const MAX_MESSAGES: usize = 64;
/// Time for which samples of a target are summed before they are sent. Paces change slowly, and each message costs
/// about 30 bytes to each other host.
const NEWS_INTERVAL: Duration = Duration::from_secs(3);

/// The gaps of the streams of one target.
#[derive(Clone, Copy, Debug)]
struct Pace {
  gaps: f64,
  seconds: f64,
  updated_at: Instant,
}

impl Pace {
  fn add(&mut self, gaps: u32, seconds: f64, now: Instant) {
    let kept = decay(self.updated_at, now);
    self.gaps = self.gaps * kept + f64::from(gaps);
    self.seconds = self.seconds * kept + seconds;
    self.updated_at = self.updated_at.max(now);
  }

  /// Returns the mean gap, in seconds.
  fn gap(&self) -> f64 {
    (self.seconds / self.gaps).clamp(MIN_GAP, MAX_GAP)
  }

  /// Returns how much of the target's gap its own record decides.
  fn weight(&self, now: Instant) -> f64 {
    let gaps = self.gaps.min(MAX_WEIGHT_GAPS) * decay(self.updated_at, now);
    gaps / (gaps + PRIOR_GAPS)
  }
}

/// Sums over the samples of one target that have not been sent yet.
#[derive(Clone, Debug)]
struct News {
  exposure: BTreeMap<u32, Exposure>,
  gaps: u32,
  seconds: f64,
  since: Instant,
}

/// A moving geometric mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
  logarithms: f64,
  weight: f64,
}

impl Mean {
  fn add(&mut self, value: f64, weight: f64) {
    // The weight of earlier values halves with each minute of streams.
    let kept = 1.0 / (1.0 + weight / 60.0);
    self.logarithms = self.logarithms * kept + log(value) * weight;
    self.weight = self.weight * kept + weight;
  }

  fn value(&self) -> Option<f64> {
    (self.weight > 0.0).then(|| exp(self.logarithms / self.weight))
  }
}

/// The pace of each target, and how often pauses break their limits.
#[derive(Clone, Debug, Default)]
pub struct Table {
  hazard: Hazard,
  /// The pause limits of the streams, in seconds.
  limits: Mean,
  news: HashMap<u64, News>,
  targets: HashMap<u64, Pace>,
}

impl Table {
  /// Records a part of a stream that this host relayed.
  pub fn record(&mut self, target: u64, sample: Sample, now: Instant) {
    let Some(seconds) = bounded_seconds(sample.gaps, sample.streamed.as_secs_f64()) else {
      return;
    };
    let Some(gap) = self.add(target, sample.gaps, seconds, now) else {
      return;
    };
    let news = self.news.entry(target).or_insert_with(|| News {
      exposure: BTreeMap::new(),
      gaps: 0,
      seconds: 0.0,
      since: now,
    });
    news.gaps = news.gaps.saturating_add(sample.gaps);
    news.seconds += seconds;
    let limit = sample.limit.as_secs_f64();
    if limit <= 0.0 {
      return;
    }
    let exposure = Exposure {
      bucket: hazard::bucket(limit / gap) as u32,
      streamed_ms: milliseconds(seconds),
      broken: sample.broken.min(sample.gaps),
    };
    let sum = news.exposure.entry(exposure.bucket).or_default();
    sum.bucket = exposure.bucket;
    sum.streamed_ms = sum.streamed_ms.saturating_add(exposure.streamed_ms);
    sum.broken = sum.broken.saturating_add(exposure.broken);
    self.limits.add(limit, seconds);
    self.hazard.add(&exposure, now);
  }

  /// Returns the sums that are due, each once.
  pub fn take_news(&mut self, now: Instant) -> Vec<Message> {
    let is_due = |news: &News| now.saturating_duration_since(news.since) >= NEWS_INTERVAL;
    let due = self.news.extract_if(|_, news| is_due(news)).take(MAX_MESSAGES);
    let message = |(target, news): (u64, News)| Message {
      target,
      gaps: news.gaps,
      streamed_ms: milliseconds(news.seconds),
      exposure: news.exposure.into_values().collect(),
    };
    due.map(message).collect()
  }

  /// Adds what another host saw; returns whether the message was plausible. Impossible numbers are clamped.
  pub fn merge(&mut self, message: &Message, now: Instant) -> bool {
    let gaps = message.gaps.min(MAX_MESSAGE_GAPS);
    let sent_seconds = f64::from(message.streamed_ms) / 1e3;
    let Some(seconds) = bounded_seconds(gaps, sent_seconds) else {
      return false;
    };
    let Some(gap) = self.add(message.target, gaps, seconds, now) else {
      return false;
    };
    let mut left = milliseconds(seconds);
    let mut broken_left = gaps;
    for exposure in message.exposure.iter().take(MAX_EXPOSURES) {
      let exposure = Exposure {
        bucket: exposure.bucket,
        streamed_ms: exposure.streamed_ms.min(left),
        broken: exposure.broken.min(broken_left),
      };
      left -= exposure.streamed_ms;
      broken_left -= exposure.broken;
      if exposure.streamed_ms > 0 {
        self.hazard.add(&exposure, now);
        let limit = hazard::ratio(exposure.bucket) * gap;
        self.limits.add(limit, f64::from(exposure.streamed_ms) / 1e3);
      }
    }
    gaps == message.gaps
  }

  /// Adds gaps to the record of a target; returns its mean gap, or `None` if there are too many targets.
  fn add(&mut self, target: u64, gaps: u32, seconds: f64, now: Instant) -> Option<f64> {
    if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(&target) {
      return None;
    }
    let pace = self.targets.entry(target).or_insert(Pace {
      gaps: 0.0,
      seconds: 0.0,
      updated_at: now,
    });
    pace.add(gaps, seconds, now);
    Some(pace.gap())
  }

  /// Forgets the targets that are not listed any more.
  pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
    self.targets.retain(|target, _| is_listed(*target));
    self.news.retain(|target, _| is_listed(*target));
  }

  /// Returns the number of targets that have a record.
  pub fn len(&self) -> usize {
    self.targets.len()
  }

  /// Returns whether no target has a record.
  pub fn is_empty(&self) -> bool {
    self.targets.is_empty()
  }

  /// Returns the rate at which pauses break their limits, per second of all streams.
  pub fn total_rate(&self, now: Instant) -> f64 {
    self.hazard.total_rate(now)
  }

  /// Finds what the targets that a request may be sent to have in common; `None` if none has a record.
  pub fn survey(&self, targets: &[u64], request: &Request, now: Instant) -> Option<Survey> {
    let known = targets.iter().filter_map(|target| self.targets.get(target));
    let (sum, weight) = known.fold((0.0, 0.0), |(sum, total), pace| {
      let weight = pace.weight(now);
      (sum + weight * pace.gap(), total + weight)
    });
    if weight <= 0.0 {
      return None;
    }
    let mut survey = Survey {
      mean_gap: sum / weight,
      own_floor: f64::INFINITY,
      shared_floor: f64::INFINITY,
    };
    for target in targets {
      let gap = self.gap(*target, &survey, now);
      survey.own_floor = survey.own_floor.min(self.own_rate(gap, request, now));
      survey.shared_floor = survey.shared_floor.min(self.shared_rate(gap, now));
    }
    Some(survey)
  }

  /// Returns the gap that a target is assumed to have, in seconds.
  fn gap(&self, target: u64, survey: &Survey, now: Instant) -> f64 {
    let mean = survey.mean_gap;
    self
      .targets
      .get(&target)
      .map_or(mean, |pace| mean + pace.weight(now) * (pace.gap() - mean))
  }

  fn own_rate(&self, gap: f64, request: &Request, now: Instant) -> f64 {
    let limit = request.pause_limit.as_secs_f64();
    if limit > 0.0 {
      self.hazard.rate(limit / gap, now)
    } else {
      0.0
    }
  }

  fn shared_rate(&self, gap: f64, now: Instant) -> f64 {
    self.limits.value().map_or(0.0, |limit| self.hazard.rate(limit / gap, now))
  }

  /// Returns the expected harm of a request at one of the targets of a survey, at which `streams` requests run.
  pub fn surcharge(
    &self,
    target: u64,
    streams: u32,
    request: &Request,
    survey: &Survey,
    now: Instant,
  ) -> f64 {
    let gap = self.gap(target, survey, now);
    let relative_gap = (gap / survey.mean_gap).clamp(MIN_RELATIVE_GAP, MAX_RELATIVE_GAP);
    let prompt_tokens = request.prompt_tokens as f64;

    let own_hazard = self.own_rate(gap, request, now) - survey.own_floor;
    let own_risk = 1.0 - exp(-own_hazard * request.events * gap);

    let shared_hazard = self.shared_rate(gap, now) - survey.shared_floor;
    let prefill_seconds = prompt_tokens * PREFILL_SECONDS * relative_gap;
    let shared_risk = f64::from(streams) * shared_hazard * prefill_seconds / PREFILL_TIME_SHARE;

    let prompt_cost = PREFILL_TOKEN_WEIGHT * prompt_tokens / request.capacity_tokens.max(1) as f64;
    let slow_prefill = prompt_cost * (relative_gap - 1.0);

    let sum = OWN_RISK_WEIGHT * own_risk
      + SHARED_RISK_WEIGHT * shared_risk
      + SLOW_PREFILL_WEIGHT * slow_prefill;
    sum.clamp(-MAX_SURCHARGE, MAX_SURCHARGE)
  }
}

/// Returns the sum of some gaps within the bounds of their mean; `None` without gaps.
fn bounded_seconds(gaps: u32, seconds: f64) -> Option<f64> {
  let gaps = f64::from(gaps);
  (gaps > 0.0).then(|| seconds.clamp(gaps * MIN_GAP, gaps * MAX_GAP))
}

fn milliseconds(seconds: f64) -> u32 {
  // The conversion clamps to the range.
  (seconds * 1e3) as u32
}
