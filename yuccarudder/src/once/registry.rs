use {
  super::{Key, Outcome},
  crate::refusal::{Reason, Refusal},
  std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
  },
  tokio::sync::watch,
};

/// Interval at which a running request whose ticket has expired is checked for its end.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on what a registry stores.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
  /// The total size of stored outcomes in bytes.
  pub answer_bytes: usize,
  /// The number of stored keys above which new keys are refused.
  ///
  /// Up to the same number of refused keys is stored in addition, so that their requests are
  /// never dispatched when they are repeated.
  pub keys: usize,
}

/// What to do with a request that carries an idempotency key.
#[derive(Debug)]
pub enum Claim {
  /// Respond with the stored outcome.
  Ended(Outcome),
  /// Refuse: the ticket has expired and no outcome of the key is stored.
  Expired,
  /// Refuse: no further key can be stored.
  Full,
  /// Refuse: the key was used with a different request.
  Reused,
  /// Execute the request, then pass its outcome to `Registry::finish`.
  Run,
  /// Wait for the outcome of an earlier request with the same key, which is still running.
  Wait(watch::Receiver<Option<Outcome>>),
}

/// The state of one key.
#[derive(Debug)]
struct Entry {
  /// Holds the outcome once the request has ended, and sends it to waiting requests.
  outcome_sender: watch::Sender<Option<Outcome>>,
  expires: Instant,
  fingerprint: [u8; 32],
  dispatched: bool,
}

/// The idempotency keys of one home host and their outcomes, stored until the tickets expire.
///
/// The registry authorizes at most one dispatch per key, and none once it has reported that
/// the key's request was not run.
#[derive(Debug)]
pub struct Registry {
  bounds: Bounds,
  /// The keys by the time at which to check whether they can be removed.
  by_expiry: BTreeSet<(Instant, Key)>,
  /// Total size of the stored outcomes in bytes.
  stored_bytes: usize,
  entries: HashMap<Key, Entry>,
}

impl Registry {
  /// Registers a request with its key, and decides what to do with it.
  ///
  /// `fingerprint` is a digest of the request, to detect a key that is used again with a
  /// different one; `expires` is the time at which the ticket expires.
  pub fn claim(
    &mut self,
    key: &Key,
    fingerprint: [u8; 32],
    expires: Instant,
    now: Instant,
  ) -> Claim {
    self.remove_expired(now);
    if let Some(entry) = self.entries.get(key) {
      if entry.fingerprint != fingerprint {
        return Claim::Reused;
      }
      if let Some(outcome) = entry.outcome_sender.borrow().clone() {
        return Claim::Ended(outcome);
      }
      return Claim::Wait(entry.outcome_sender.subscribe());
    }
    if expires <= now {
      return Claim::Expired;
    }
    if self.entries.len() >= 2 * self.bounds.keys {
      return Claim::Full;
    }
    let entry = Entry {
      outcome_sender: watch::Sender::default(),
      expires,
      fingerprint,
      dispatched: false,
    };
    self.entries.insert(key.clone(), entry);
    self.by_expiry.insert((expires, key.clone()));
    if self.entries.len() > self.bounds.keys {
      let refusal = Refusal::not_run(Reason::OutcomesFull);
      self.finish(key, Outcome::Refused(refusal.clone()));
      return Claim::Ended(Outcome::Refused(refusal));
    }
    Claim::Run
  }

  /// Removes keys whose requests have ended and whose tickets have expired.
  pub fn remove_expired(&mut self, now: Instant) {
    while let Some((expires, key)) = self.by_expiry.first().cloned() {
      if expires > now {
        return;
      }
      self.by_expiry.pop_first();
      let Some(entry) = self.entries.get_mut(&key) else {
        continue;
      };
      if entry.outcome_sender.borrow().is_none() {
        // The request is still running, so its key stays; check again later.
        let recheck = now + RECHECK_INTERVAL;
        self.by_expiry.insert((recheck, key));
        continue;
      }
      if let Some(entry) = self.entries.remove(&key) {
        self.stored_bytes -=
          entry.outcome_sender.borrow().as_ref().map_or(0, Outcome::stored_bytes);
      }
    }
  }

  /// Stores the outcome of a claimed request and sends it to waiting repeats.
  ///
  /// Returns the outcome as stored: the first one if there already is one, with `NotRun`
  /// corrected to `Unknown` after a dispatch, and `NotKept` in place of an outcome that would
  /// exceed `Bounds::answer_bytes`.
  pub fn finish(&mut self, key: &Key, outcome: Outcome) -> Outcome {
    let Some(entry) = self.entries.get_mut(key) else {
      return outcome.correct_execution(true);
    };
    if let Some(outcome) = entry.outcome_sender.borrow().clone() {
      return outcome;
    }
    let mut outcome = outcome.correct_execution(entry.dispatched);
    let bytes = outcome.stored_bytes();
    if self.stored_bytes + bytes > self.bounds.answer_bytes {
      outcome = Outcome::NotKept;
    }
    self.stored_bytes += outcome.stored_bytes();
    entry.outcome_sender.send_replace(Some(outcome.clone()));
    outcome
  }

  /// Returns whether no key is stored.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Returns the number of stored keys.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Builds an empty registry.
  pub fn new(bounds: Bounds) -> Self {
    Self {
      bounds,
      by_expiry: BTreeSet::new(),
      stored_bytes: 0,
      entries: HashMap::new(),
    }
  }

  /// Authorizes the only dispatch of a key's request.
  ///
  /// # Errors
  ///
  /// Refuses if the request was dispatched before or has ended, or if the ticket has expired.
  pub fn authorize_dispatch(&mut self, key: &Key, now: Instant) -> Result<(), Refusal> {
    let Some(entry) = self.entries.get_mut(key) else {
      return Err(Refusal::unknown(Reason::TicketExpired));
    };
    if entry.dispatched || entry.outcome_sender.borrow().is_some() {
      return Err(Refusal::unknown(Reason::TargetLost));
    }
    if entry.expires <= now {
      return Err(Refusal::not_run(Reason::TicketExpired));
    }
    entry.dispatched = true;
    Ok(())
  }
}
