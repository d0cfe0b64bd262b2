use {
  super::call::Call,
  crate::{
    placement::{self, Candidate, Choice, ColdBound, Load, Need, Place, Rank},
    refusal::{Reason, Refusal},
    relocation::{self, Plan, Position, Run, Source},
    roster::{Key, Target},
    routing::{Engine, Kind},
    settings::Promises,
  },
  std::time::{Duration, Instant},
  tokio::time,
};

/// Share of an engine's memory that the expected needs of its runs may fill; the rest is
/// for estimates that fall short.
const FILL: f64 = 1.0;
const PREFIX: &str = "placed";
/// Share of the objective that a request may wait for room; the rest is for reading it in.
const PATIENCE: f64 = 0.6;
/// How often a waiting request looks for room that no news told of.
const RECHECK: Duration = Duration::from_millis(25);
/// Share of the time left that a request waits for room which can no longer be on time.
const LATE_PATIENCE: f64 = 0.25;
/// Share of the objective beyond which a request that is not placed will be late.
const ON_TIME: f64 = 0.8;
/// When room at full targets may be expected, in objectives of the route: a request that
/// waited that long is late, and comes back when those that are not have been served.
const FULL_RETRY: f64 = 2.0;
/// Shortest time in which room may be expected.
const MIN_FULL_RETRY: Duration = Duration::from_millis(300);
/// When a target may be expected where there is none.
const NONE_RETRY: Duration = Duration::from_millis(1000);

/// A target with the place that a request takes there.
pub struct Spot {
  pub key: Key,
  pub place: Place,
  pub target: Target,
}

impl Call {
  /// Takes a place at a target, waiting for room as long as that helps the caller.
  ///
  /// # Errors
  ///
  /// Refuses when there is no room or no target in time.
  pub async fn place(&self, tried: &[Key]) -> Result<Spot, Refusal> {
    let rank = self.rank();
    let waiting = self.gateway.places.enter(&self.service, rank);
    loop {
      let freed = self.gateway.places.freed();
      let placed = if waiting.is_first() {
        self.try_place(tried, false)
      } else {
        Err(self.full())
      };
      let refusal = match placed {
        Ok(spot) => {
          let waited = self.elapsed().as_secs_f64();
          let kind = self.route().kind.name();
          self.gateway.meters.queue.with_label_values(&[kind]).observe(waited);
          return Ok(spot);
        }
        Err(refusal) => refusal,
      };
      let now = self.gateway.clock.now();
      if now >= rank.gives_up {
        return self.try_place(tried, true).map_err(|_| refusal);
      }
      let recheck = (now + RECHECK).min(rank.gives_up);
      // Both a place that was freed and the time to look again lead to another look.
      let _ = time::timeout_at(recheck.into(), freed).await;
    }
  }

  fn rank(&self) -> Rank {
    let objective = self.route().latency_objective;
    let late = self.age + self.elapsed() > objective.mul_f64(ON_TIME);
    let patience = if late {
      self.left().mul_f64(LATE_PATIENCE)
    } else {
      objective.mul_f64(PATIENCE).saturating_sub(self.elapsed())
    };
    let gives_up = (self.gateway.clock.now() + patience).min(self.deadline);
    Rank {
      gives_up,
      late,
      urgency: self.urgency().into(),
    }
  }

  fn full(&self) -> Refusal {
    let after = self.route().latency_objective.mul_f64(FULL_RETRY).max(MIN_FULL_RETRY);
    Refusal::not_run(Reason::TargetsBusy).with_retry_after(after)
  }

  fn try_place(&self, tried: &[Key], last_resort: bool) -> Result<Spot, Refusal> {
    let now = self.gateway.clock.now();
    let engine = self.service().and_then(|service| service.engine.as_ref());
    let need = self.need(engine, last_resort);
    let near = self.gateway.settings().data_centre.clone();
    match self.choose(tried, &need, &near, now) {
      Choice::Chosen(key) => Ok(self.take(key, self.first_load(&need))),
      Choice::Full => Err(self.full()),
      Choice::None => Err(Refusal::not_run(Reason::NoTarget).with_retry_after(NONE_RETRY)),
    }
  }

  /// Plans where and when a run goes on that has to leave its engine.
  pub fn plan_move(&self, sources: &[Source<'_>], position: Position, run: Run) -> Option<Plan> {
    let engine = self.service()?.engine.as_ref()?;
    let now = self.gateway.clock.now();
    let state = self.gateway.lock();
    let ledger = self.gateway.places.lock();
    let open = state.roster.open(&self.service);
    let mut open: Vec<_> = open.filter(|(key, _)| !state.health.is_ejected(*key, now)).collect();
    // All hosts go through them in the same order, so that they plan alike.
    open.sort_by_key(|(_, target)| target.fingerprint);
    let candidates = open.into_iter().map(|(key, target)| relocation::Candidate {
      data_centre: &target.listing.data_centre,
      key,
      load: ledger.load(target.fingerprint),
    });
    relocation::plan(engine, sources, candidates, position, run)
  }

  /// Takes a place where a run goes on, if the target still takes work.
  pub fn take_planned(&self, destination: Key, run: Run) -> Option<Spot> {
    if !self.gateway.lock().roster.is_open(destination) {
      return None;
    }
    let load = Load {
      copying: run.held,
      held: run.held,
      runs: 1,
      tokens: run.tokens,
      ..Load::default()
    };
    Some(self.take(destination, load))
  }

  fn choose(&self, tried: &[Key], need: &Need, near: &str, now: Instant) -> Choice {
    let state = self.gateway.lock();
    let ledger = self.gateway.places.lock();
    let hosts = state.members.fleet_size();
    let bound = self.cold_bound(&state.settings.promises);
    let candidates = state.roster.open(&self.service).map(|(key, target)| {
      let is_cold = target.cold_until.is_some_and(|until| now < until);
      let allows = |bound: ColdBound| {
        let chance = rand::random_range(0.0..1.0);
        state.pace.allows(key, &bound, hosts, chance, now)
      };
      Candidate {
        cold: is_cold && !bound.is_none_or(allows),
        ejected: state.health.is_ejected(key, now),
        key,
        load: ledger.load(target.fingerprint),
        near: target.listing.data_centre == near,
        slots: target.listing.slots,
        tried: tried.contains(&key),
      }
    });
    let sample = placement::sample(hosts);
    placement::choose(candidates, need, sample, || rand::random_range(0.0..1.0))
  }

  fn cold_bound(&self, promises: &Promises) -> Option<ColdBound> {
    Some(ColdBound {
      allowance: promises.cold_allowance,
      overage: promises.cold_overage,
      rate: self.service()?.cold_rate?,
    })
  }

  fn need(&self, engine: Option<&Engine>, last_resort: bool) -> Need {
    let stream = matches!(self.route().kind, Kind::Stream { .. });
    Need {
      last_resort,
      memory: engine.map(|engine| (engine.memory_tokens as f64 * FILL) as u64),
      tokens: if stream { self.expected_memory(0) } else { 0 },
    }
  }

  /// Returns what a request takes that has not been read in.
  fn first_load(&self, need: &Need) -> Load {
    let arriving = if need.memory.is_some() {
      self.ask.prompt_tokens
    } else {
      0
    };
    Load {
      arriving,
      held: arriving,
      runs: 1,
      tokens: need.tokens,
      ..Load::default()
    }
  }

  fn take(&self, key: Key, load: Load) -> Spot {
    let mut state = self.gateway.lock();
    state.pace.record(key, self.gateway.clock.now());
    let target = state.roster.get(key).expect("a chosen target is listed").clone();
    drop(state);
    let found = self.gateway.places.lock().load(target.fingerprint);
    log::info!(
      target: PREFIX, id = self.id(), target:% = target.id, runs = found.runs, tokens = found.tokens,
      arriving = found.arriving, copying = found.copying, need = load.tokens,
      waited_ms = self.elapsed().as_millis() as u64;
      "Chose a target."
    );
    let place = self.gateway.places.take(placement::Run {
      load,
      target: target.fingerprint,
    });
    if load.tokens > 0 {
      // The other hosts are to choose by this load, too.
      self.gateway.news.notify_one();
    }
    Spot { key, place, target }
  }
}
