//! The expected cost of a request at a target, beyond the use of the target's capacity.

use {
  super::{call::Call, gateway::State},
  crate::{
    pace,
    placement::{self, Demand, Load},
    roster::{Key, Target},
  },
  std::time::Instant,
};

const PREFIX: &str = "prompt";

/// The expected cost of a request at a target, beyond the use of the target's capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
  /// Prompt tokens that the target is expected to hold.
  pub held_tokens: u64,
  /// The cost, in the unit of the utilization.
  pub surcharge: f64,
}

/// Estimates the cost of one request at several targets.
pub struct Estimator<'a> {
  call: &'a Call,
  demand: &'a Demand,
  now: Instant,
  /// What the targets have in common; `None` if their pace is not considered.
  survey: Option<(pace::Request, pace::Survey)>,
}

impl<'a> Estimator<'a> {
  /// Prepares the estimates for the targets that may run a request. `request` is what their pace means to it;
  /// `None` if their pace is not considered.
  pub fn new(
    call: &'a Call,
    state: &State,
    demand: &'a Demand,
    request: Option<pace::Request>,
    now: Instant,
  ) -> Self {
    let survey = request.and_then(|request| {
      let targets = call.suitable_targets(state);
      let fingerprints: Vec<u64> = targets.map(|(_, target)| target.fingerprint).collect();
      Some((request, state.paces.survey(&fingerprints, &request, now)?))
    });
    Self {
      call,
      demand,
      now,
      survey,
    }
  }

  /// Estimates the cost at a target with a load.
  pub fn estimate(&self, state: &State, target: &Target, load: &Load) -> Estimate {
    let held_tokens = self.held_tokens(state, target.fingerprint, load);
    let pace = self.survey.as_ref().map_or(0.0, |(request, survey)| {
      state.paces.surcharge(target.fingerprint, load.requests, request, survey, self.now)
    });
    Estimate {
      held_tokens,
      surcharge: pace - placement::prefix_saving(held_tokens, self.demand),
    }
  }

  /// Returns the chance that the stream breaks its pause limit at a target, as far as another one can avoid it. It is
  /// rounded to halves, so that hosts that know slightly different paces plan the same copies.
  pub fn pause_risk(&self, state: &State, target: &Target) -> f64 {
    let risk = self.survey.as_ref().map_or(0.0, |(request, survey)| {
      state.paces.pause_risk(target.fingerprint, request, survey, self.now)
    });
    (risk * 2.0).round() / 2.0
  }

  /// Returns the expected number of prompt tokens that a target, given by its fingerprint, holds; 0 if that is not
  /// to count.
  fn held_tokens(&self, state: &State, target: u64, load: &Load) -> u64 {
    let Some(capacity) = self.demand.capacity_tokens else {
      return 0;
    };
    if !state.settings.placement.held_prompts {
      return 0;
    }
    let room = capacity.saturating_sub(load.used_tokens);
    state.prompts.held_tokens(target, &self.call.prompt(), room, self.now)
  }
}

impl Call {
  /// Returns the targets that accept new requests and may run this one.
  pub(super) fn suitable_targets<'a>(
    &'a self,
    state: &'a State,
  ) -> impl Iterator<Item = (Key, &'a Target)> {
    let accepting = state.roster.accepting(&self.service_name);
    accepting.filter(|(_, target)| self.accepts_version(&target.listing.version))
  }

  /// Records that the prompt has been processed at a target.
  pub fn record_held_prompt(&self, target: u64) {
    let engine = self.service().and_then(|service| service.engine.as_ref());
    let Some(engine) = engine else {
      return;
    };
    let mut state = self.gateway.lock();
    if !state.settings.placement.held_prompts {
      return;
    }
    let prompt = self.prompt();
    if !prompt.is_consistent() {
      log::warn!(
        target: PREFIX, id = self.id(), parts = prompt.parts.len(), tokens = prompt.tokens;
        "The sizes of the prompt parts do not match the prompt; they count as far as they do."
      );
    }
    let load = self.gateway.scheduler.lock().total_load(target);
    let room = engine.kv_cache_tokens.saturating_sub(load.used_tokens);
    state.prompts.record(target, &prompt, room, self.gateway.clock.now());
  }
}
