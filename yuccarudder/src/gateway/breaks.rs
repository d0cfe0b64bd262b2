//! Runs that break off: finds out whether the target crashed, and keeps requests under which targets
//! crash away from the others.

use {
  super::{Gateway, assignment::Assignment, call::Call, gateway::State, ingress},
  crate::{
    member::{self, Heartbeat, Member},
    placement::Outcome,
    quarantine::{Ban, Crash, Feature, SOUND_AFTER, Verdict},
    refusal::{Reason, Refusal},
    roster::{Key, Listing, Status},
  },
  futures::{StreamExt, stream::FuturesUnordered},
  rand::seq::SliceRandom,
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time,
};

const PREFIX: &str = "breaks";
/// Time for a target to accept or refuse the connection that shows whether it still runs; a lost
/// packet delays a connection by a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of other hosts that are asked whether they reach a target that refuses connections.
const MAX_ASKED_HOSTS: usize = 4;
/// Time for their answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of other targets of which one has to accept a connection of a host, before it is the target that
/// refuses connections and not the host whose links are lost.
const MAX_WITNESSES: usize = 3;
/// Time for a witness to accept a connection.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time from a rejection within which the crash of a brittle target counts as its consequence.
const FALL_PERIOD: Duration = Duration::from_secs(2);
/// Longest wait for the result of the connection attempt before a request is sent again; a target that
/// crashed refuses the connection at once.
const MAX_VERDICT_WAIT: Duration = Duration::from_millis(50);
/// Heartbeats after which the other hosts have reported the sound answers of a suspected feature: they
/// first learn of the crash, then answer.
const NEWS_HEARTBEATS: u32 = 2;
/// Interval at which known crashes are judged again, as features become suspicious by the time without
/// a sound answer.
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time without progress after which a target counts as silent; longer than a sound pause.
pub(super) const SILENCE: Duration = Duration::from_secs(2);
/// Interval and number of checks whether a silent target was replaced by another process.
const REPLACEMENT_POLL: Duration = Duration::from_millis(500);
const REPLACEMENT_POLLS: u32 = 20;

/// How a run ended without its whole response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
  /// The connection to the target broke.
  ConnectionLost,
  /// The target sent nothing for some time.
  Silent,
}

/// A run that ended without its whole response.
struct Break {
  address: SocketAddr,
  /// When the head of the response arrived; `None` if it did not.
  answered_at: Option<Instant>,
  /// When it ended.
  at: Instant,
  cause: Cause,
  features: Vec<Feature>,
  fingerprint: u64,
  key: Key,
  request_id: String,
  sent_at: Instant,
  service: u64,
  target: Arc<str>,
}

impl Call {
  /// Reports that a run ended at a time without its whole response, and waits for a short time until it is
  /// known whether the target crashed. `answered_at` is when the head of the response arrived.
  pub(super) async fn report_break(
    &self,
    assignment: &Assignment,
    answered_at: Option<Instant>,
    at: Instant,
    cause: Cause,
  ) {
    let verdict = tokio::spawn(self.gateway.clone().inspect_break(Break {
      address: assignment.target.listing.address,
      answered_at,
      at,
      cause,
      features: self.features.clone(),
      fingerprint: assignment.target.fingerprint,
      key: assignment.key,
      request_id: self.id().to_owned(),
      sent_at: assignment.assigned_at,
      service: ingress::hash(&self.service_name),
      target: Arc::clone(&assignment.target.id),
    }));
    if cause == Cause::ConnectionLost {
      // The inspection continues after the timeout.
      let _ = time::timeout(MAX_VERDICT_WAIT, verdict).await;
    }
  }

  /// Records that a target answers the request soundly, `answered_at` being when it began.
  pub(super) fn report_sound(&self, answered_at: Instant) {
    let service = ingress::hash(&self.service_name);
    self.gateway.record_sound(&self.features, service, answered_at);
  }

  /// Checks that targets do not crash under the request, as far as is known; returns whether it is
  /// sent only to find out whether they still do.
  ///
  /// # Errors
  ///
  /// Refuses the request if they do.
  pub(super) fn check_features(&self) -> Result<bool, Refusal> {
    let now = self.gateway.clock.now();
    let since_boot = self.gateway.clock.since_boot();
    let mut state = self.gateway.lock();
    if state.ledger.bans().next().is_none() {
      return Ok(false);
    }
    let conducts_trials = state.members.order(state.settings.weight, since_boot) == 0;
    match state.ledger.check(&self.features, conducts_trials, now) {
      Verdict::Allowed => Ok(false),
      Verdict::Trial => {
        log::info!(target: PREFIX, id = self.id(), features:% = format_features(&self.features); "Sending a request with banned features, to find out whether targets still crash.");
        Ok(true)
      }
      Verdict::Banned(ban) => {
        let age = now.saturating_duration_since(ban.last_crash);
        log::info!(
          target: PREFIX, id = self.id(), features:% = format_features(&ban.features), crashes = ban.crashes,
          uncertain = ban.is_uncertain, age_ms = age.as_millis() as u64;
          "Refusing a request with banned features."
        );
        Err(refuse(&ban, now))
      }
    }
  }
}

/// Returns the refusal of a request that a ban covers.
fn refuse(ban: &Ban, now: Instant) -> Refusal {
  if ban.is_uncertain {
    let retry_after = ban.uncertain_until().saturating_duration_since(now);
    return Refusal::not_run(Reason::RequestSuspected).with_retry_after(retry_after);
  }
  let reason = if ban.features.iter().any(|feature| feature.is_content()) {
    Reason::RequestQuarantined
  } else {
    Reason::PromptQuarantined
  };
  Refusal::not_run(reason).with_detail(format_features(&ban.features))
}

impl Break {
  /// Returns how long the target had been responding; `None` if it had not begun.
  fn answering(&self) -> Option<Duration> {
    self.answered_at.map(|answered_at| self.at.saturating_duration_since(answered_at))
  }

  fn log(&self, crashed: Option<bool>) {
    log::info!(
      target: PREFIX, id = self.request_id.as_str(), target:% = self.target, features:% = format_features(&self.features),
      answering_ms = self.answering().map(|time| time.as_millis() as u64), cause:? = self.cause, crashed;
      "A run broke off."
    );
  }

  /// Returns whether the target had not proved yet that it can answer the request.
  fn is_suspect(&self) -> bool {
    self.answering().is_none_or(|time| time < SOUND_AFTER)
  }
}

impl State {
  /// Returns whether a target that crashed at some time is known to have rejected requests just before:
  /// a brittle target falls over under the requests that it rejects, not under those that it runs.
  fn has_fallen(&self, service: u64, key: Key, crashed_at: Instant) -> bool {
    self.brittleness.tolerance(service).is_some()
      && self.brittleness.has_rejected(key, FALL_PERIOD, crashed_at)
  }

  /// Returns addresses of some targets other than the one at an address that are not known to have crashed,
  /// of its service at first: a host that reaches one of them has not lost its links.
  fn witnesses(&self, address: SocketAddr, service: &str) -> Vec<SocketAddr> {
    let others = self.roster.all().filter(|(_, other)| {
      other.status == Status::Serving
        && other.listing.address != address
        && !self.ledger.has_crashed(other.fingerprint)
    });
    let mut others: Vec<&Listing> = others.map(|(_, other)| &other.listing).collect();
    others.shuffle(&mut rand::rng());
    // One of another service answers too where all targets of this one have crashed.
    let (mut chosen, others): (Vec<_>, Vec<_>) =
      others.into_iter().partition(|other| other.service == service);
    chosen.truncate(MAX_WITNESSES - 1);
    chosen.extend(others);
    chosen.truncate(MAX_WITNESSES);
    chosen.into_iter().map(|listing| listing.address).collect()
  }

  /// Clears the requests that were at a brittle target when it crashed, if rejections explain that.
  pub(super) fn excuse_crash(&mut self, key: Key) {
    let Some(target) = self.roster.get(key) else {
      return;
    };
    let (fingerprint, service) = (target.fingerprint, ingress::hash(&target.listing.service));
    let Some(crashed_at) = self.ledger.crash_time(fingerprint) else {
      return;
    };
    if self.has_fallen(service, key, crashed_at) {
      self.ledger.excuse(fingerprint);
    }
  }
}

impl Gateway {
  fn record_sound(&self, features: &[Feature], service: u64, answered_at: Instant) {
    let now = self.clock.now();
    let is_first = self.lock().ledger.record_sound(features, service, answered_at, now);
    if is_first {
      self.judge_crashes();
    }
  }

  /// Finds out whether the target of a run crashed, and records it.
  async fn inspect_break(self, run: Break) {
    let crashed = self.has_crashed(&run).await;
    run.log(crashed);
    if crashed == Some(true) {
      self.record_crash(run);
    }
  }

  /// Finds out whether the target of a run crashed: it was not leaving, and it refuses connections
  /// or another process has taken its place. Returns `None` if that is unknown.
  async fn has_crashed(&self, run: &Break) -> Option<bool> {
    let is_leaving = {
      let state = self.lock();
      if state.ledger.has_crashed(run.fingerprint) {
        return Some(true);
      }
      let status = state.roster.get(run.key).map(|target| target.status);
      matches!(status, Some(Status::Leaving | Status::Removed(_)))
    };
    if is_leaving && run.cause != Cause::Silent {
      return None;
    }
    let listening = self.pool.is_listening(run.address, PROBE_TIMEOUT).await;
    if listening == Some(false) && !is_leaving {
      let is_reached = self.is_reached_by_others(run.fingerprint).await;
      if is_reached == Some(true) {
        return Some(false);
      }
      let interval = {
        let state = self.lock();
        let interval = member::heartbeat_interval(state.members.fleet_size());
        (is_reached.is_none() || state.links.has_doubts()).then_some(interval * NEWS_HEARTBEATS)
      };
      let Some(interval) = interval else {
        return Some(true);
      };
      // The asked hosts may have lost their links at the same moment; by then they have announced it,
      // and others are asked.
      time::sleep(interval).await;
      let mut is_reached = self.is_reached_by_others(run.fingerprint).await;
      if is_reached.is_none() {
        // All the asked hosts may still be cut off, or be of builds that do not know the question.
        is_reached = self.clone().check_listening(run.fingerprint).await;
      }
      return is_reached.map(|is_reached| !is_reached);
    }
    let polls = if listening.is_none() {
      REPLACEMENT_POLLS
    } else {
      0
    };
    for _ in 0..polls {
      if self.is_replaced(run.key, run.address) {
        return Some(true);
      }
      time::sleep(REPLACEMENT_POLL).await;
    }
    if self.is_replaced(run.key, run.address) {
      return Some(true);
    }
    listening.map(|_| false)
  }

  /// Asks some of the other hosts whether a target that refuses connections of this host accepts theirs;
  /// returns `None` if there are hosts and none of them can tell.
  ///
  /// Links that break look like crashes of all targets from here; from elsewhere they do not.
  async fn is_reached_by_others(&self, target: u64) -> Option<bool> {
    let (hosts, is_alone) = {
      let state = self.lock();
      let live: Vec<_> = state.members.live(self.clock.since_boot()).collect();
      let is_alone = live.is_empty();
      let sound = live.into_iter().filter(|(_, member)| member.unreachable_services.is_empty());
      let mut sound: Vec<(SocketAddr, &Member)> = sound.collect();
      sound.shuffle(&mut rand::rng());
      // Older builds do not know the question.
      sound.sort_by_key(|(_, member)| !member.can_assist);
      sound.truncate(MAX_ASKED_HOSTS);
      let hosts = sound.into_iter().map(|(address, _)| address);
      (hosts.collect::<Vec<_>>(), is_alone)
    };
    let mut is_reached = is_alone.then_some(false);
    let questions = hosts.into_iter().map(|host| async move {
      let answer = time::timeout(ASK_TIMEOUT, member::ask_is_listening(host, target)).await;
      answer.ok()?.ok()?
    });
    let mut answers: FuturesUnordered<_> = questions.collect();
    while let Some(answer) = answers.next().await {
      is_reached = answer.or(is_reached);
      if is_reached == Some(true) {
        break;
      }
    }
    is_reached
  }

  /// Returns whether a target, given by its fingerprint, accepts or refuses connections of this host;
  /// `None` if neither happens, the target is unknown, or it refuses them and the links of this host may be
  /// the reason: those to its service are in doubt, or no other target accepts connections either.
  pub(super) async fn check_listening(self, target: u64) -> Option<bool> {
    let Listing {
      address, service, ..
    } = {
      let state = self.lock();
      let key = state.roster.keys_of(target).next()?;
      state.roster.get(key)?.listing.clone()
    };
    if self.pool.is_listening(address, ASK_TIMEOUT).await? {
      return Some(true);
    }
    if self.has_doubtful_links(&service) {
      return None;
    }
    let witnesses = self.lock().witnesses(address, &service);
    self.reaches_any(&witnesses).await.then_some(false)
  }

  /// Returns whether one of some addresses, if there are any, accepts a connection of this host.
  async fn reaches_any(&self, addresses: &[SocketAddr]) -> bool {
    let connections =
      addresses.iter().map(|address| self.pool.is_listening(*address, WITNESS_TIMEOUT));
    let connections: FuturesUnordered<_> = connections.collect();
    addresses.is_empty()
      || connections.any(|is_listening| async move { is_listening == Some(true) }).await
  }

  /// Returns whether another process serves at the address of a target that did not say it leaves.
  pub(super) fn is_replaced(&self, key: Key, address: SocketAddr) -> bool {
    let state = self.lock();
    let mut others = state.roster.all().filter(|(other, _)| *other != key);
    let has_said = state.roster.get(key).is_some_and(|target| target.status == Status::Leaving);
    !has_said
      && others
        .any(|(_, target)| target.listing.address == address && target.status == Status::Serving)
  }

  fn record_crash(&self, run: Break) {
    let now = self.clock.now();
    let has_fallen = self.lock().has_fallen(run.service, run.key, run.at);
    let crash = Crash {
      at: run.at,
      features: if run.is_suspect() && !has_fallen {
        run.features
      } else {
        Vec::new()
      },
      sent_at: run.sent_at,
      service: run.service,
      target: run.fingerprint,
    };
    let (is_known, is_new) = {
      let mut state = self.lock();
      let is_known = state.ledger.has_crashed(run.fingerprint);
      (is_known, state.ledger.record_crash(crash, true, now))
    };
    if !is_known {
      self.instruments.target_crashes.inc();
      log::warn!(target: PREFIX, target:% = run.target; "A target crashed.");
    }
    if is_new {
      self.record_outcome(run.key, Outcome::Crashed);
      self.judge_crashes();
      self.heartbeat_trigger.notify_one();
    }
  }

  /// Judges the known crashes at intervals until the task is dropped.
  pub(super) async fn keep_judging_crashes(&self) {
    loop {
      time::sleep(JUDGE_INTERVAL).await;
      self.judge_crashes();
    }
  }

  /// Bans the features under which targets crash.
  pub(super) fn judge_crashes(&self) {
    let now = self.clock.now();
    let mut state = self.lock();
    let interval = member::heartbeat_interval(state.members.fleet_size());
    let bans = state.ledger.judge(interval * NEWS_HEARTBEATS, now);
    self.instruments.banned_features.set(state.ledger.bans().count() as i64);
    drop(state);
    for ban in &bans {
      log_ban(ban, "crashes", now);
    }
    if !bans.is_empty() {
      self.heartbeat_trigger.notify_one();
    }
  }

  /// Merges what another host knows of crashes.
  pub(super) fn merge_crashes(&self, heartbeat: &Heartbeat, now: Instant) {
    let mut state = self.lock();
    for sound in &heartbeat.sounds {
      state.ledger.merge_sound(sound.sound(now));
    }
    let bans: Vec<Ban> = heartbeat.bans.iter().map(|ban| ban.ban(now)).collect();
    let new_bans: Vec<Ban> =
      bans.into_iter().filter(|ban| state.ledger.merge_ban(ban.clone(), now)).collect();
    let mut has_news = false;
    let mut crashed = Vec::new();
    for crash in &heartbeat.crashes {
      let mut crash = crash.crash(now);
      let keys: Vec<Key> = state.roster.keys_of(crash.target).collect();
      if keys.iter().any(|key| state.has_fallen(crash.service, *key, crash.at)) {
        crash.features.clear();
      }
      if state.ledger.record_crash(crash, false, now) {
        has_news = true;
        crashed.extend(keys);
      }
    }
    drop(state);
    for key in crashed {
      self.record_outcome(key, Outcome::Crashed);
    }
    for ban in &new_bans {
      log_ban(ban, "host", now);
    }
    if has_news {
      self.judge_crashes();
    }
  }
}

fn log_ban(ban: &Ban, source: &str, now: Instant) {
  log::warn!(
    target: PREFIX, features:% = format_features(&ban.features), crashes = ban.crashes, uncertain = ban.is_uncertain, source,
    span_ms = now.saturating_duration_since(ban.first_crash).as_millis() as u64;
    "Banned features of requests under which targets crash."
  );
}

/// Formats features for logs.
fn format_features(features: &[Feature]) -> String {
  let names: Vec<String> = features.iter().map(Feature::to_string).collect();
  names.join(" ")
}
