use {
  super::{
    Exposure, Hazard, Message, Request, Sample, Survey,
    gaps::{self, Gaps},
    hazard,
    mean::Mean,
    news::News,
  },
  crate::placement::PREFILL_TOKEN_WEIGHT,
  libm::{exp, log},
  std::{collections::HashMap, time::Instant},
};

/// Cost of a stream that breaks its pause limit, in the unit of a target's whole KV cache. A late stream costs its
/// caller more than any wait within the latency objective, so the risk outweighs a full target.
const OWN_RISK_WEIGHT: f64 = 2.0;
/// The same for streams that run at the target already. A prompt disturbs them at every step until it is processed,
/// and theirs are the requests with the most work done.
const SHARED_RISK_WEIGHT: f64 = 4.0;
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
/// Largest number of gaps that counts of one sample or message; a host relays fewer between two messages.
const MAX_GAPS: u32 = 1 << 16;
/// Largest number of parts that counts of one message, which is the number of buckets.
const MAX_EXPOSURES: usize = 32;
const MAX_TARGETS: usize = 2_048;
/// Maximum number of messages in a heartbeat.
pub(crate) const MAX_MESSAGES: usize = 64;

/// The pace of each target, and how often pauses break their limits.
#[derive(Clone, Debug, Default)]
pub struct Table {
  hazard: Hazard,
  /// The pause limits of the streams, in seconds.
  limits: Mean,
  news: HashMap<u64, News>,
  targets: HashMap<u64, Gaps>,
}

impl Table {
  /// Records a part of a stream that this host relayed.
  pub fn record(&mut self, target: u64, sample: Sample, now: Instant) {
    let count = sample.gaps.min(MAX_GAPS);
    let Some(seconds) = gaps::bounded_seconds(count, sample.streamed.as_secs_f64()) else {
      return;
    };
    let Some(gap) = self.add(target, count, seconds, now) else {
      return;
    };
    let news = self.news.entry(target).or_insert_with(|| News::new(now));
    news.add_gaps(count, seconds);
    let limit = sample.limit.as_secs_f64();
    if limit > 0.0 {
      let exposure = Exposure {
        bucket: hazard::bucket(limit / gap) as u32,
        streamed_ms: hazard::milliseconds(seconds),
        broken: sample.broken.min(count),
      };
      news.add_exposure(&exposure);
      self.limits.add(limit, seconds);
      self.hazard.add(&exposure, now);
    }
  }

  /// Returns the sums that are due in a fleet of `hosts`, each once.
  pub fn take_news(&mut self, hosts: usize, now: Instant) -> Vec<Message> {
    let due = self.news.extract_if(|_, news| news.is_due(hosts, now)).take(MAX_MESSAGES);
    due.map(|(target, news)| news.into_message(target)).collect()
  }

  /// Adds what another host saw; returns whether all of it was possible. Impossible numbers are clamped.
  pub fn merge(&mut self, message: &Message, now: Instant) -> bool {
    let count = message.gaps.min(MAX_GAPS);
    let sent_seconds = f64::from(message.streamed_ms) / 1e3;
    let Some(seconds) = gaps::bounded_seconds(count, sent_seconds) else {
      return false;
    };
    // News of more targets than a fleet has are dropped.
    let Some(gap) = self.add(message.target, count, seconds, now) else {
      return true;
    };
    // Each part of the sums is rounded by itself.
    let mut left = hazard::milliseconds(seconds).saturating_add(MAX_EXPOSURES as u32);
    let mut broken_left = count;
    let mut is_possible = count == message.gaps && (seconds - sent_seconds).abs() < 1e-3;
    is_possible &= message.exposure.len() <= MAX_EXPOSURES;
    for sent in message.exposure.iter().take(MAX_EXPOSURES) {
      let exposure = Exposure {
        bucket: sent.bucket,
        streamed_ms: sent.streamed_ms.min(left),
        broken: sent.broken.min(broken_left),
      };
      is_possible &= exposure == *sent;
      left -= exposure.streamed_ms;
      broken_left -= exposure.broken;
      if exposure.streamed_ms > 0 {
        self.hazard.add(&exposure, now);
        let limit = hazard::ratio(exposure.bucket) * gap;
        self.limits.add(limit, f64::from(exposure.streamed_ms) / 1e3);
      }
    }
    is_possible
  }

  /// Adds gaps to the record of a target; returns its mean gap, or `None` if there are too many targets.
  fn add(&mut self, target: u64, count: u32, seconds: f64, now: Instant) -> Option<f64> {
    if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(&target) {
      return None;
    }
    let gaps = self.targets.entry(target).or_insert_with(|| Gaps::new(now));
    gaps.add(count, seconds, now);
    Some(gaps.mean())
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

  /// Returns the number of pauses that break their limits, per second of all streams.
  pub fn total_rate(&self, now: Instant) -> f64 {
    self.hazard.total_rate(now)
  }

  /// Finds what the targets that a request may be sent to have in common; `None` if none has a record.
  pub fn survey(&self, targets: &[u64], request: &Request, now: Instant) -> Option<Survey> {
    let known = targets.iter().filter_map(|target| self.targets.get(target));
    let (logarithms, total_weight) = known.fold((0.0, 0.0), |(sum, total), gaps| {
      let weight = gaps.weight(now);
      (sum + weight * log(gaps.mean()), total + weight)
    });
    if total_weight <= 0.0 {
      return None;
    }
    let mut survey = Survey {
      mean_gap: exp(logarithms / total_weight),
      own_floor: f64::INFINITY,
      rates: self.hazard.rates(now),
      shared_floor: f64::INFINITY,
      shared_limit: self.limits.value(),
    };
    let limit = request.pause_limit.as_secs_f64();
    for target in targets {
      let gap = self.gap(*target, &survey, now);
      survey.own_floor = survey.own_floor.min(survey.own_rate(limit, gap));
      survey.shared_floor = survey.shared_floor.min(survey.shared_rate(gap));
    }
    Some(survey)
  }

  /// Returns the gap that a target is assumed to have, in seconds.
  fn gap(&self, target: u64, survey: &Survey, now: Instant) -> f64 {
    let mean = survey.mean_gap;
    let gaps = self.targets.get(&target);
    gaps.map_or(mean, |gaps| mean + gaps.weight(now) * (gaps.mean() - mean))
  }

  /// Returns the chance that the stream of a request breaks its pause limit at one of the targets of a survey, as far as
  /// it can be avoided at another one.
  pub fn pause_risk(&self, target: u64, request: &Request, survey: &Survey, now: Instant) -> f64 {
    survey.own_risk(request, self.gap(target, survey, now))
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

    let own_risk = survey.own_risk(request, gap);

    let prefill_seconds = prompt_tokens * PREFILL_SECONDS * relative_gap;
    let shared_rate = (survey.shared_rate(gap) - survey.shared_floor) / PREFILL_TIME_SHARE;
    let shared_risk = f64::from(streams) * shared_rate * prefill_seconds;

    let prompt_cost = PREFILL_TOKEN_WEIGHT * prompt_tokens / request.capacity_tokens.max(1) as f64;
    let slow_prefill = prompt_cost * (relative_gap - 1.0);

    let sum = OWN_RISK_WEIGHT * own_risk
      + SHARED_RISK_WEIGHT * shared_risk
      + SLOW_PREFILL_WEIGHT * slow_prefill;
    sum.clamp(-MAX_SURCHARGE, MAX_SURCHARGE)
  }
}
