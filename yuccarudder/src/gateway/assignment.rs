use {
  super::{
    call::Call,
    estimate::{Estimate, Estimator},
    ingress,
  },
  crate::{
    placement::{self, Candidate, Choice, Demand, Load, Rank, Reservation, Waiter},
    refusal::{Reason, Refusal},
    relocation::{self, Plan, Position, Run, Source},
    roster::{Key, Target},
    routing::{Engine, Kind},
    span,
  },
  std::time::{Duration, Instant},
  tokio::time,
};

/// Share of an engine's KV cache that its runs may be expected to fill; the rest is a reserve
/// for underestimates.
const MAX_MEMORY_FILL: f64 = 1.0;
/// The same while requests of other hosts wait for the service. All hosts then place requests as soon as they see room,
/// before they know of each other's, and an engine whose memory runs out preempts runs: with 1.0, 219 runs of a day
/// with too little room were preempted and 455,000 prompt tokens were prefilled in vain; with 0.92, 70 and 127,000.
const MAX_CONTENDED_FILL: f64 = 0.92;
/// How much later a copy may end at another destination if the run is certain to break its pause limit at this one. A
/// copy of a run takes about 200 ms, so a destination that keeps the limit is worth one more copy in its queue.
const PAUSE_PENALTY: Duration = Duration::from_millis(300);
const PREFIX: &str = "placed";
/// Share of the latency objective that a request may wait for capacity; the rest is for
/// processing its prompt.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Interval at which a waiting request checks for capacity that became free without a
/// notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the time left until its deadline that a late request may wait for capacity.
const LATE_MAX_WAIT_SHARE: f64 = 0.25;
/// Share of the latency objective after which a request without a target counts as late: the rest
/// is too short for a target to meet the objective.
const LATE_THRESHOLD_SHARE: f64 = 0.8;
/// Retry-after time when all targets are full, as a multiple of the route's latency objective.
/// A request that waited this long is late; it comes back after the requests that can still be
/// on time have been served.
const FULL_RETRY_OBJECTIVES: f64 = 2.0;
/// Minimum retry-after time when all targets are full.
const MIN_FULL_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-after time when a service has no target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// A target and the capacity that is reserved there for a request.
pub struct Assignment {
  /// When the target was chosen, just before the request is sent.
  pub assigned_at: Instant,
  /// Number of requests of all hosts at the target with this one, as far as known.
  pub concurrent: u32,
  pub key: Key,
  pub reservation: Reservation,
  pub target: Target,
}

/// For what a target is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
  /// The rest of a stream that has begun. It is not refused when this host shuts down, since it may still
  /// end in time.
  Continue,
  /// A request without a response.
  Start,
}

fn targets_paused(until: Instant, now: Instant) -> Refusal {
  Refusal::not_run(Reason::TargetsPaused).with_retry_after(until.saturating_duration_since(now))
}

impl Call {
  /// Assigns the request to a target and reserves capacity there.
  ///
  /// Waits for capacity for a share of the latency objective, or of the time left for a late
  /// request.
  ///
  /// # Errors
  ///
  /// Fails when all targets are still full after the wait, when there is no target, or at once
  /// when all targets asked for a pause that ends after the wait, when targets crash under the
  /// request or when this host shuts down and may not finish it.
  pub async fn assign(
    &self,
    tried_targets: &[Key],
    purpose: Purpose,
  ) -> Result<Assignment, Refusal> {
    let is_trial = self.check_features()?;
    let rank = self.queue_rank();
    let engine = self.service().and_then(|service| service.engine.as_ref());
    let need = self.demand(engine, false).expected_tokens;
    let waiter = self.gateway.scheduler.enqueue(&self.queue_name(), rank, need);
    let mut is_waiting = false;
    loop {
      if purpose == Purpose::Start {
        self.check_shutdown()?;
      }
      let capacity_freed = self.gateway.scheduler.capacity_freed();
      let result = if waiter.is_first() {
        self.try_assign(tried_targets, &waiter, false)
      } else {
        Err(self.targets_full())
      };
      let refusal = match result {
        Ok(assignment) => {
          let queue_time = self.elapsed().as_secs_f64();
          let route_kind = self.route().kind.name();
          self.gateway.instruments.queue_wait.with_label_values(&[route_kind]).observe(queue_time);
          return Ok(assignment);
        }
        Err(refusal) => refusal,
      };
      let now = self.gateway.clock.now();
      let is_hopeless = refusal.reason == Reason::TargetsPaused
        && refusal.retry_after.is_some_and(|pause| span::after(now, pause) >= rank.give_up_at);
      if is_hopeless {
        return Err(self.promise_return(refusal));
      }
      if now >= rank.give_up_at {
        let result = self.try_assign(tried_targets, &waiter, true);
        self.announce_waiting(&waiter);
        return result.map_err(|_| self.promise_return(refusal));
      }
      if !is_waiting {
        is_waiting = true;
        self.announce_waiting(&waiter);
      }
      let recheck_at = (now + RECHECK_INTERVAL).min(rank.give_up_at);
      // Freed capacity and the timeout both lead to another check.
      let _ = time::timeout_at(recheck_at.into(), capacity_freed).await;
      if !is_trial {
        self.check_features()?;
      }
    }
  }

  /// Refuses the request if this host is shutting down and may not finish it.
  pub fn check_shutdown(&self) -> Result<(), Refusal> {
    let Some(progress) = self.gateway.shutdown_progress() else {
      return Ok(());
    };
    let time = self.gateway.response_time(&self.metadata, self.route(), self.time_left());
    progress.check(&time)
  }

  /// Returns the name of the queue that the request waits in. Streams that only one version can
  /// continue wait by themselves, so that they do not hold up the others when that version is full.
  fn queue_name(&self) -> String {
    match &self.version {
      Some(version) => format!("{} {version}", self.service_name),
      None => self.service_name.clone(),
    }
  }

  fn queue_rank(&self) -> Rank {
    let objective = self.route().latency_objective;
    let late = self.since_first_attempt + self.elapsed() > objective.mul_f64(LATE_THRESHOLD_SHARE);
    let max_wait = if late {
      self.time_left().mul_f64(LATE_MAX_WAIT_SHARE)
    } else {
      objective.mul_f64(MAX_WAIT_SHARE).saturating_sub(self.elapsed())
    };
    let give_up_at = span::after(self.gateway.clock.now(), max_wait).min(self.deadline);
    Rank {
      give_up_at,
      late,
      over_share: self.is_over_share(),
      priority: self.engine_priority().into(),
    }
  }

  fn targets_full(&self) -> Refusal {
    let retry_after =
      self.route().latency_objective.mul_f64(FULL_RETRY_OBJECTIVES).max(MIN_FULL_RETRY_AFTER);
    Refusal::not_run(Reason::TargetsBusy).with_retry_after(retry_after)
  }

  fn try_assign(
    &self,
    tried_targets: &[Key],
    waiter: &Waiter,
    last_resort: bool,
  ) -> Result<Assignment, Refusal> {
    let now = self.gateway.clock.now();
    let engine = self.service().and_then(|service| service.engine.as_ref());
    let demand = self.demand(engine, last_resort);
    let own_data_centre = self.gateway.settings().data_centre.clone();
    let (choice, estimate) =
      self.choose_target(tried_targets, waiter, &demand, &own_data_centre, now);
    match choice {
      Choice::Chosen(key) => Ok(self.reserve(key, self.initial_load(&demand), estimate, now)),
      Choice::Full => Err(self.targets_full()),
      Choice::Paused(until) => Err(targets_paused(until, now)),
      Choice::None => Err(self.all_paused().unwrap_or_else(|| {
        let reason = if self.version.is_some() {
          Reason::NoTargetOfVersion
        } else {
          Reason::NoTarget
        };
        Refusal::not_run(reason).with_retry_after(NO_TARGET_RETRY_AFTER)
      })),
    }
  }

  /// Returns the refusal for when no target of the service takes a request now, because of the
  /// pauses and limits that they asked for.
  pub fn all_paused(&self) -> Option<Refusal> {
    let (_, until) = self.first_room()?;
    Some(targets_paused(until, self.gateway.clock.now()))
  }

  /// Returns the target that is the first to take a request again, and when; `None` if one takes it
  /// now or there is none.
  fn first_room(&self) -> Option<(Key, Instant)> {
    let now = self.gateway.clock.now();
    let since_boot = self.gateway.clock.since_boot();
    let state = self.gateway.lock();
    let accepting = self.suitable_targets(&state);
    let ends: Option<Vec<(Key, Instant)>> =
      accepting.map(|(key, _)| Some((key, state.paused_until(key, now, since_boot)?))).collect();
    ends?.into_iter().min_by_key(|(_, until)| *until)
  }

  /// Replaces the retry-after time of a refusal because of pauses and limits by one at which there
  /// is room for this caller, after those that were refused before it.
  fn promise_return(&self, refusal: Refusal) -> Refusal {
    let Some((key, _)) = self.first_room().filter(|_| refusal.reason == Reason::TargetsPaused)
    else {
      return refusal;
    };
    let now = self.gateway.clock.now();
    let since_boot = self.gateway.clock.since_boot();
    let room_at = self.gateway.lock().promise_room(key, now, since_boot);
    room_at.map_or(refusal, |room_at| targets_paused(room_at, now))
  }

  /// Plans where and when a run on a leaving engine of a software version is copied; returns `None` when no engine has
  /// capacity for it or the targets of the service are not engines.
  pub fn plan_migration(
    &self,
    sources: &[Source<'_>],
    position: Position,
    run: Run,
    version: &str,
  ) -> Option<Plan> {
    let engine = self.service()?.engine.as_ref()?;
    let now = self.gateway.clock.now();
    let since_boot = self.gateway.clock.since_boot();
    let demand = self.demand(Some(engine), false);
    let pace_request = self.pace_request(&demand);
    let state = self.gateway.lock();
    let load_table = self.gateway.scheduler.lock();
    let accepting_targets = state.roster.accepting(&self.service_name);
    let accepting_targets =
      accepting_targets.filter(|(_, target)| target.listing.version == version);
    let mut available: Vec<_> =
      accepting_targets.filter(|(key, _)| state.is_usable(*key, now, since_boot)).collect();
    // All hosts use the same order, so that their plans agree.
    available.sort_by_key(|(_, target)| target.fingerprint);
    let estimator = Estimator::new(self, &state, &demand, pace_request, now);
    let candidates = available.into_iter().map(|(key, target)| relocation::Candidate {
      data_centre: &target.listing.data_centre,
      key,
      load: load_table.total_load(target.fingerprint),
      penalty: PAUSE_PENALTY.mul_f64(estimator.pause_risk(&state, target)),
    });
    relocation::plan(engine, sources, candidates, position, run)
  }

  /// Reserves capacity for a migrated run, if the destination still accepts requests and the run
  /// may be sent there.
  pub fn reserve_planned(&self, destination: Key, run: Run) -> Option<Assignment> {
    self.check_features().ok()?;
    let now = self.gateway.clock.now();
    let since_boot = self.gateway.clock.since_boot();
    let mut state = self.gateway.lock();
    if !state.roster.is_accepting(destination)
      || state.paused_until(destination, now, since_boot).is_some()
    {
      return None;
    }
    state.throttle.record(destination, now);
    drop(state);
    let load = Load {
      transfer_tokens: run.cached_tokens,
      used_tokens: run.cached_tokens,
      requests: 1,
      expected_tokens: run.peak_tokens,
      ..Load::default()
    };
    // The copy brings the whole prompt.
    Some(self.reserve(destination, load, Estimate::default(), now))
  }

  /// Chooses a target and counts the request there at once, as several may be placed at the same time. Also
  /// returns what the chosen target was expected to cost.
  fn choose_target(
    &self,
    tried_targets: &[Key],
    waiter: &Waiter,
    demand: &Demand,
    own_data_centre: &str,
    now: Instant,
  ) -> (Choice, Estimate) {
    let pace_request = self.pace_request(demand);
    let since_boot = self.gateway.clock.since_boot();
    let mut state = self.gateway.lock();
    state.update_place_shares(&self.service_name, now, since_boot);
    let load_table = self.gateway.scheduler.lock();
    let hosts = state.members.fleet_size();
    let cold_limit = state.cold_limit(&self.service_name);
    let service = ingress::hash(&self.service_name);
    let estimator = Estimator::new(self, &state, demand, pace_request, now);
    let is_contended = self.is_contended(&state, demand, now);
    let demand = &Demand {
      capacity_tokens: demand.capacity_tokens.map(|tokens| {
        let fill = if is_contended {
          MAX_CONTENDED_FILL
        } else {
          MAX_MEMORY_FILL
        };
        (tokens as f64 * fill) as u64
      }),
      ..*demand
    };
    let is_cold_limited = |key, target: &Target| {
      let cold_limit = cold_limit.as_ref().filter(|_| target.is_cold(now));
      cold_limit.is_some_and(|limit| {
        let share = state.cold_share(target, limit, since_boot);
        !state.throttle.allows(key, limit, &share, now)
      })
    };
    let is_usable = |key, target: &Target| {
      !tried_targets.contains(&key)
        && state.is_usable(key, now, since_boot)
        && !is_cold_limited(key, target)
    };
    let grant = self.grant(&state, &load_table, is_usable, waiter, demand, now);
    let candidates = self.suitable_targets(&state).map(|(key, target)| {
      let load = load_table.total_load(target.fingerprint);
      Candidate {
        granted: grant.allows(target.fingerprint),
        surcharge: estimator.estimate(&state, target, &load).surcharge,
        cold_limited: is_cold_limited(key, target),
        ejected: state.health.is_ejected(key, now),
        key,
        load,
        local: target.listing.data_centre == own_data_centre,
        paused_until: state.paused_until(key, now, since_boot),
        room: state.brittleness.room(
          service,
          key,
          load_table.local_load(target.fingerprint).requests,
          now,
        ),
        slots: target.listing.slots,
        tried: tried_targets.contains(&key),
      }
    });
    let sample_fraction = placement::sample_fraction(hosts);
    let choice = placement::choose(candidates, demand, sample_fraction, || {
      rand::random_range(0.0..1.0)
    });
    let Choice::Chosen(key) = choice else {
      return (choice, Estimate::default());
    };
    let target = state.roster.get(key).expect("a chosen target is in the roster");
    let load = load_table.total_load(target.fingerprint);
    let estimate = estimator.estimate(&state, target, &load);
    drop(load_table);
    state.throttle.record(key, now);
    self.record_placement(&mut state, key, &grant, waiter, demand, now);
    (choice, estimate)
  }

  fn demand(&self, engine: Option<&Engine>, last_resort: bool) -> Demand {
    let is_stream = matches!(self.route().kind, Kind::Stream { .. });
    Demand {
      last_resort,
      capacity_tokens: engine.map(|engine| engine.kv_cache_tokens),
      expected_tokens: if is_stream {
        self.expected_memory_tokens(0)
      } else {
        0
      },
    }
  }

  /// Returns the load of a request whose prompt has not been processed yet.
  fn initial_load(&self, demand: &Demand) -> Load {
    let prefill_tokens = if demand.capacity_tokens.is_some() {
      self.metadata.prompt_tokens
    } else {
      0
    };
    Load {
      prefill_tokens,
      used_tokens: prefill_tokens,
      requests: 1,
      expected_tokens: demand.expected_tokens,
      ..Load::default()
    }
  }

  fn reserve(&self, key: Key, load: Load, estimate: Estimate, now: Instant) -> Assignment {
    let mut state = self.gateway.lock();
    state.take_request(key, 1.0, now, self.gateway.clock.since_boot());
    let target = state.roster.get(key).expect("a chosen target is in the roster").clone();
    drop(state);
    let load_before = self.gateway.scheduler.lock().total_load(target.fingerprint);
    self.gateway.instruments.held_prompt_tokens.inc_by(estimate.held_tokens);
    log::info!(
      target: PREFIX, id = self.id(), account = self.account_name().unwrap_or("-"), target:% = target.id, software = target.listing.version.as_str(), runs = load_before.requests, tokens = load_before.expected_tokens,
      arriving = load_before.prefill_tokens, copying = load_before.transfer_tokens, need = load.expected_tokens,
      held_tokens = estimate.held_tokens, surcharge = (estimate.surcharge * 1e3).round() / 1e3,
      waited_ms = self.elapsed().as_millis() as u64;
      "Chose a target."
    );
    let assignment = placement::Assignment {
      load,
      target: target.fingerprint,
    };
    let reservation = self.gateway.scheduler.reserve(assignment, self.account_hash());
    if load.expected_tokens > 0 {
      // Announces the load to the other hosts, which include it in their choices.
      self.gateway.heartbeat_trigger.notify_one();
    }
    Assignment {
      assigned_at: now,
      concurrent: load_before.requests.saturating_add(1),
      key,
      reservation,
      target,
    }
  }
}
