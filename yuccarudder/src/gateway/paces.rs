//! The pace of targets, as this host and the others see it.

use {
  super::{Gateway, call::Call, gateway::State},
  crate::{
    member::Heartbeat,
    pace::{self, Message, Meter, Request, Sample},
    placement::Demand,
    routing::Kind,
  },
  std::{
    collections::HashSet,
    time::{Duration, Instant},
  },
};

const PREFIX: &str = "pace";

impl Gateway {
  /// Merges what another host saw of the pace of targets.
  pub(super) fn merge_paces(&self, heartbeat: &Heartbeat, now: Instant) {
    if heartbeat.paces.is_empty() {
      return;
    }
    let mut state = self.lock();
    if !state.settings.placement.pace {
      return;
    }
    let paces = heartbeat.paces.iter().take(pace::MAX_MESSAGES);
    let faults = paces.filter(|message| !state.paces.merge(message, now)).count();
    if faults > 0 {
      log::warn!(target: PREFIX, host = heartbeat.sender.as_str(), faults; "Another host sent impossible paces.");
    }
  }
}

impl State {
  /// Returns what the next heartbeat tells of the pace of targets.
  pub(super) fn take_paces(&mut self, now: Instant) -> Vec<Message> {
    if !self.settings.placement.pace {
      return Vec::new();
    }
    // Only then is a target certainly not listed any more; this bounds the table.
    if self.paces.len() > self.roster.all().count() {
      let listed: HashSet<u64> = self.roster.all().map(|(_, target)| target.fingerprint).collect();
      self.paces.retain(|target| listed.contains(&target));
    }
    self.paces.take_news(self.members.fleet_size(), now)
  }
}

impl Call {
  /// Measures the gap before `events` events that have just arrived from a target, given by its fingerprint.
  pub(super) fn measure_pace(
    &self,
    meter: &mut Meter,
    target: u64,
    events: u64,
    is_caller_slow: bool,
  ) {
    let limit = self.route().pause_objective;
    let sample = meter.observe(target, events, limit, self.gateway.clock.now());
    self.record_pace(sample);
    if is_caller_slow {
      // The next gap depends on how fast the caller reads.
      meter.interrupt();
    }
  }

  /// Records the last gaps of a stream.
  pub(super) fn finish_pace(&self, meter: &mut Meter) {
    self.record_pace(meter.finish(self.route().pause_objective));
  }

  fn record_pace(&self, sample: Option<(u64, Sample)>) {
    if let Some((target, sample)) = sample
      && self.service().is_some_and(|service| service.engine.is_some())
    {
      let now = self.gateway.clock.now();
      let mut state = self.gateway.lock();
      if state.settings.placement.pace {
        state.paces.record(target, sample, now);
      }
    }
  }

  /// Returns what the pace of a target means for the request; `None` if paces are not to be considered.
  pub(super) fn pace_request(&self, demand: &Demand) -> Option<Request> {
    let capacity_tokens = demand.capacity_tokens?;
    if !self.gateway.settings().placement.pace {
      return None;
    }
    let Kind::Stream { .. } = self.route().kind else {
      return Some(Request {
        capacity_tokens,
        events: 0.0,
        pause_limit: Duration::ZERO,
        prompt_tokens: self.metadata.prompt_tokens,
      });
    };
    let tokens_per_event = self.service()?.engine.as_ref()?.tokens_per_event.max(1);
    let metadata = &self.metadata;
    let earlier_tokens = metadata.last_event_id.unwrap_or(0).saturating_mul(tokens_per_event);
    let earlier_tokens = earlier_tokens.min(metadata.max_tokens);
    let length_model = self.gateway.length_model(&self.route().name, metadata.max_tokens);
    let tokens = length_model.predict(metadata.length_hint, metadata.max_tokens, earlier_tokens);
    Some(Request {
      capacity_tokens,
      events: tokens.saturating_sub(earlier_tokens) as f64 / tokens_per_event as f64,
      pause_limit: self.route().pause_objective,
      prompt_tokens: metadata.prompt_tokens,
    })
  }
}
