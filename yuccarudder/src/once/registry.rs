use {
  super::{Key, Outcome},
  crate::refusal::{Reason, Refusal},
  std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
  },
  tokio::sync::watch,
};

const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// Bounds on what a registry remembers.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
  /// Bytes of kept answers.
  pub answer_bytes: usize,
  /// Keys that may run; as many again are remembered as refused.
  pub keys: usize,
}

/// What to do with a request that carries a key.
#[derive(Debug)]
pub enum Claim {
  /// Answer as the job ended before.
  Ended(Outcome),
  /// The ticket expired and nothing is known of the key.
  Expired,
  /// Nothing more can be remembered.
  Full,
  /// The key was used with another request.
  Reused,
  /// Run the job, and say how it ended.
  Run,
  /// The job is in hand; wait for its end.
  Wait(watch::Receiver<Option<Outcome>>),
}

#[derive(Debug)]
struct Entry {
  ended: watch::Sender<Option<Outcome>>,
  expires: Instant,
  fingerprint: [u8; 32],
  sent: bool,
}

/// Remembers the keys of one home until their tickets expire.
///
/// The registry hands out at most one right to send per key, and once it has
/// said that a key did not run, none.
#[derive(Debug)]
pub struct Registry {
  bounds: Bounds,
  by_expiry: BTreeSet<(Instant, Key)>,
  bytes: usize,
  entries: HashMap<Key, Entry>,
}

impl Registry {
  /// Claims the right to run a key.
  ///
  /// `fingerprint` tells requests apart; `expires` is when the ticket expires.
  pub fn claim(
    &mut self,
    key: &Key,
    fingerprint: [u8; 32],
    expires: Instant,
    now: Instant,
  ) -> Claim {
    self.expire(now);
    if let Some(entry) = self.entries.get(key) {
      if entry.fingerprint != fingerprint {
        return Claim::Reused;
      }
      if let Some(outcome) = entry.ended.borrow().clone() {
        return Claim::Ended(outcome);
      }
      return Claim::Wait(entry.ended.subscribe());
    }
    if expires <= now {
      return Claim::Expired;
    }
    if self.entries.len() >= 2 * self.bounds.keys {
      return Claim::Full;
    }
    let entry = Entry {
      ended: watch::Sender::default(),
      expires,
      fingerprint,
      sent: false,
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

  /// Forgets ended keys whose tickets have expired.
  pub fn expire(&mut self, now: Instant) {
    while let Some((expires, key)) = self.by_expiry.first().cloned() {
      if expires > now {
        return;
      }
      self.by_expiry.pop_first();
      let Some(entry) = self.entries.get_mut(&key) else {
        continue;
      };
      if entry.ended.borrow().is_none() {
        // A job in hand outlives its ticket; look again later.
        let later = now + LOOK_AGAIN;
        self.by_expiry.insert((later, key));
        continue;
      }
      if let Some(entry) = self.entries.remove(&key) {
        self.bytes -= entry.ended.borrow().as_ref().map_or(0, Outcome::bytes);
      }
    }
  }

  /// Records how a claimed job ended and tells those who wait.
  ///
  /// Returns the outcome as it is remembered.
  pub fn finish(&mut self, key: &Key, outcome: Outcome) -> Outcome {
    let Some(entry) = self.entries.get_mut(key) else {
      return outcome.truthful(true);
    };
    if let Some(outcome) = entry.ended.borrow().clone() {
      return outcome;
    }
    let mut outcome = outcome.truthful(entry.sent);
    let bytes = outcome.bytes();
    if self.bytes + bytes > self.bounds.answer_bytes {
      outcome = Outcome::NotKept;
    }
    self.bytes += outcome.bytes();
    entry.ended.send_replace(Some(outcome.clone()));
    outcome
  }

  /// Returns whether no key is remembered.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Returns the number of keys remembered.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Builds an empty registry.
  pub fn new(bounds: Bounds) -> Self {
    Self {
      bounds,
      by_expiry: BTreeSet::new(),
      bytes: 0,
      entries: HashMap::new(),
    }
  }

  /// Takes the only right to send the job of a key.
  ///
  /// # Errors
  ///
  /// Refuses when the right was taken, the job has ended, or the ticket has expired.
  pub fn authorize_dispatch(&mut self, key: &Key, now: Instant) -> Result<(), Refusal> {
    let Some(entry) = self.entries.get_mut(key) else {
      return Err(Refusal::unknown(Reason::TicketExpired));
    };
    if entry.sent || entry.ended.borrow().is_some() {
      return Err(Refusal::unknown(Reason::TargetLost));
    }
    if entry.expires <= now {
      return Err(Refusal::not_run(Reason::TicketExpired));
    }
    entry.sent = true;
    Ok(())
  }
}
