//! Runs that break off: finds out whether the target crashed, and keeps requests with the prompt
//! part that causes it away from the others.

use {
  super::{Gateway, assignment::Assignment, call::Call},
  crate::{
    member::{self, Heartbeat},
    placement::Outcome,
    quarantine::{Ban, Crash, SOUND_AFTER, Verdict},
    refusal::{Reason, Refusal},
    roster::{Key, Status},
  },
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
/// Heartbeats after which the other hosts have reported the sound answers of a suspected part: they
/// first learn of the crash, then answer.
const NEWS_HEARTBEATS: u32 = 2;
/// Interval at which known crashes are judged again, as parts become suspicious by the time without
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
  /// The response ended with its connection, as it has neither a length nor chunks. That is its
  /// whole if the target still runs.
  UnframedEnd,
}

/// A run that ended without its whole response.
struct Break {
  address: SocketAddr,
  /// When the head of the response arrived; `None` if it did not.
  answered_at: Option<Instant>,
  /// When it ended.
  at: Instant,
  cause: Cause,
  /// Hash of what the request asks for, which its repeats have in common.
  content: u64,
  fingerprint: u64,
  key: Key,
  /// Prompt parts that the request shares with others.
  parts: Vec<u64>,
  request_id: String,
  target: Arc<str>,
}

impl Call {
  /// Reports that a run ended without its whole response. `answered_at` is when the head of the
  /// response arrived.
  pub(super) fn report_break(
    &self,
    assignment: &Assignment,
    answered_at: Option<Instant>,
    cause: Cause,
  ) {
    let run = Break {
      address: assignment.target.listing.address,
      answered_at,
      at: self.gateway.clock.now(),
      cause,
      content: self.content,
      fingerprint: assignment.target.fingerprint,
      key: assignment.key,
      parts: self.metadata.shared_parts().to_vec(),
      request_id: self.id().to_owned(),
      target: Arc::clone(&assignment.target.id),
    };
    let gateway = self.gateway.clone();
    tokio::spawn(async move {
      match (gateway.has_crashed(&run).await, run.cause, run.answered_at) {
        (Some(false), Cause::UnframedEnd, Some(answered_at)) => {
          let now = gateway.clock.now();
          gateway.lock().ledger.record_sound(&run.parts, answered_at, now);
        }
        (crashed, ..) => {
          run.log(crashed);
          if crashed == Some(true) && !run.parts.is_empty() {
            gateway.record_crash(run);
          }
        }
      }
    });
  }

  /// Records that a target answers the request soundly, `answered_at` being when it began.
  pub(super) fn report_sound(&self, answered_at: Instant) {
    let parts = self.metadata.shared_parts();
    if !parts.is_empty() {
      let now = self.gateway.clock.now();
      self.gateway.lock().ledger.record_sound(parts, answered_at, now);
    }
  }

  /// Checks that the request has no prompt part that crashes targets; returns whether it is sent
  /// only to find out whether a part still does.
  ///
  /// # Errors
  ///
  /// Refuses the request if it has.
  pub(super) fn check_parts(&self) -> Result<bool, Refusal> {
    let parts = self.metadata.shared_parts();
    if parts.is_empty() {
      return Ok(false);
    }
    let now = self.gateway.clock.now();
    let since_boot = self.gateway.clock.since_boot();
    let mut state = self.gateway.lock();
    if state.ledger.bans().next().is_none() {
      return Ok(false);
    }
    let conducts_trials = state.members.order(state.settings.weight, since_boot) == 0;
    match state.ledger.check(parts, conducts_trials, now) {
      Verdict::Allowed => Ok(false),
      Verdict::Trial => {
        log::info!(target: PREFIX, id = self.id(), parts:% = format_parts(parts); "Sending a request with banned prompt parts, to find out whether targets still crash.");
        Ok(true)
      }
      Verdict::Banned(ban) => {
        let age = now.saturating_duration_since(ban.last_crash);
        log::info!(
          target: PREFIX, id = self.id(), parts:% = format_parts(&ban.parts), crashes = ban.crashes,
          age_ms = age.as_millis() as u64;
          "Refusing a request with banned prompt parts."
        );
        let detail = format!("part {}", format_parts(&ban.parts));
        Err(Refusal::not_run(Reason::PromptQuarantined).with_detail(detail))
      }
    }
  }
}

impl Break {
  /// Returns how long the target had been responding; `None` if it had not begun.
  fn answering(&self) -> Option<Duration> {
    self.answered_at.map(|answered_at| self.at.saturating_duration_since(answered_at))
  }

  fn log(&self, crashed: Option<bool>) {
    log::info!(
      target: PREFIX, id = self.request_id.as_str(), target:% = self.target, content:% = format_args!("{:x}", self.content), parts:% = format_parts(&self.parts),
      answering_ms = self.answering().map(|time| time.as_millis() as u64), cause:? = self.cause, crashed;
      "A run broke off."
    );
  }

  /// Returns whether the target had not proved yet that it can answer the request.
  fn is_suspect(&self) -> bool {
    self.answering().is_none_or(|time| time < SOUND_AFTER)
  }
}

impl Gateway {
  /// Finds out whether the target of a run crashed: it was not leaving, and it refuses connections
  /// or another process has taken its place. Returns `None` if that cannot be told.
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
      return Some(true);
    }
    let polls = if listening.is_none() {
      REPLACEMENT_POLLS
    } else {
      0
    };
    for _ in 0..polls {
      if self.is_replaced(run) {
        return Some(true);
      }
      time::sleep(REPLACEMENT_POLL).await;
    }
    if self.is_replaced(run) {
      return Some(true);
    }
    listening.map(|_| false)
  }

  /// Returns whether another process serves at the address of a target that did not say it leaves.
  fn is_replaced(&self, run: &Break) -> bool {
    let state = self.lock();
    let mut others = state.roster.all().filter(|(key, _)| *key != run.key);
    let has_said = state.roster.get(run.key).is_some_and(|target| target.status == Status::Leaving);
    !has_said
      && others.any(|(_, target)| {
        target.listing.address == run.address && target.status == Status::Serving
      })
  }

  fn record_crash(&self, run: Break) {
    let now = self.clock.now();
    let crash = Crash {
      at: run.at,
      parts: if run.is_suspect() {
        run.parts
      } else {
        Vec::new()
      },
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

  /// Bans the prompt parts that crash targets.
  pub(super) fn judge_crashes(&self) {
    let now = self.clock.now();
    let mut state = self.lock();
    let interval = member::heartbeat_interval(state.members.fleet_size());
    let bans = state.ledger.judge(interval * NEWS_HEARTBEATS, now);
    self.instruments.banned_parts.set(state.ledger.bans().count() as i64);
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
      if state.ledger.record_crash(crash.crash(now), false, now) {
        has_news = true;
        crashed.extend(state.roster.keys_of(crash.target));
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
    target: PREFIX, parts:% = format_parts(&ban.parts), crashes = ban.crashes, source,
    span_ms = now.saturating_duration_since(ban.first_crash).as_millis() as u64;
    "Banned prompt parts under which targets crash."
  );
}

/// Formats the IDs of prompt parts for logs.
fn format_parts(parts: &[u64]) -> String {
  let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
  ids.join(" ")
}
