use {
  super::{caller::Kind, target},
  std::{collections::HashMap, time::Duration},
  tokio::time::Instant,
  tokio_util::sync::CancellationToken,
};

/// Time after which a host that was out of touch has to keep all rules again.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which a run may go on at a target after the request has gone on at another one.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Time after its caller has left at which a request may still reach a target.
const MAX_DEPARTED: Duration = Duration::from_millis(500);
/// Time for which requests may still be sent to a target that leaves.
const MAX_DRAINING: Duration = Duration::from_millis(2_000);

/// One execution of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
  /// When its target began to leave, if it had.
  pub draining_since: Option<Instant>,
  pub ended_at: Option<Instant>,
  /// When each piece was made.
  pub events: Vec<Instant>,
  /// Number of the last piece of the runs before it.
  pub first: u64,
  /// The host that sent it there.
  pub host: usize,
  /// Whether it goes on from a copy of another run.
  pub is_copy: bool,
  /// Whether its answer was lost.
  pub is_lost: bool,
  /// Loses its answer.
  pub lose: CancellationToken,
  pub process: target::Id,
  pub request: String,
  pub started_at: Instant,
  /// Stops it.
  pub stop: CancellationToken,
}

/// Why a host is out of touch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
  /// Its links to the targets are cut.
  Cut,
  /// Its process does not run.
  Frozen,
}

/// A time in which a host was out of touch.
#[derive(Clone, Copy, Debug)]
struct Absence {
  host: usize,
  since: Instant,
  trouble: Trouble,
  until: Option<Instant>,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
  /// The host to which it was sent.
  pub host: usize,
  pub kind: Kind,
  /// When its caller went away without its answer.
  pub left_at: Option<Instant>,
  /// The status of its answer.
  pub status: Option<u16>,
}

/// What callers and targets have seen.
#[derive(Debug, Default)]
pub struct Log {
  absences: Vec<Absence>,
  /// Rules that callers found broken.
  pub faults: Vec<String>,
  pub requests: HashMap<String, Request>,
  pub runs: Vec<Run>,
  pub whole_answers: usize,
}

impl Log {
  /// Records that a host is out of touch from now on.
  pub fn begin_absence(&mut self, host: usize, trouble: Trouble) {
    self.absences.push(Absence {
      host,
      since: Instant::now(),
      trouble,
      until: None,
    });
  }

  /// Records that a host is in touch again but for other troubles.
  pub fn end_absence(&mut self, host: usize, trouble: Trouble) {
    let mut absences = self.absences.iter_mut().rev();
    let absence = absences.find(|absence| absence.host == host && absence.trouble == trouble);
    absence.unwrap().until = Some(Instant::now());
  }

  /// Returns from when on, after a time, hosts are in touch for some time; `None` if they are not yet.
  fn in_touch_from(&self, hosts: &[usize], time: Instant, period: Duration) -> Option<Instant> {
    let mut from = time;
    let is_in_the_way = |absence: &&Absence, from: Instant| {
      hosts.contains(&absence.host)
        && absence.since <= from + period
        && absence.until.is_none_or(|until| from < until + CONTACT)
    };
    while let Some(absence) = self.absences.iter().find(|absence| is_in_the_way(absence, from)) {
      from = absence.until? + CONTACT;
    }
    Some(from)
  }

  /// Returns whether a host is in touch from a time on for some time.
  fn is_in_touch(&self, host: usize, time: Instant, period: Duration) -> bool {
    self.in_touch_from(&[host], time, period) == Some(time)
  }

  /// Checks the rules, as far as what has been seen by now shows.
  pub fn check(&self, now: Instant) {
    assert!(
      self.faults.is_empty(),
      "{:#?}\n{}",
      self.faults,
      self.describe()
    );
    for (index, run) in self.runs.iter().enumerate() {
      if let Some(fault) = self.find_fault(index, run, &self.requests[&run.request], now) {
        panic!("{fault}: run {index} of\n{}", self.describe());
      }
    }
  }

  fn find_fault(
    &self,
    index: usize,
    run: &Run,
    request: &Request,
    now: Instant,
  ) -> Option<&'static str> {
    let is_active_at = |run: &Run, at: Instant| {
      run.started_at <= at && at < now && run.ended_at.is_none_or(|ended_at| at < ended_at)
    };
    let earlier = self.runs[..index].iter().filter(|earlier| earlier.request == run.request);
    let mut others = earlier.clone().filter(|earlier| earlier.process != run.process);
    if self.is_in_touch(run.host, run.started_at, MAX_OVERLAP)
      && request.kind.is_stream()
      && others.any(|other| is_active_at(other, run.started_at + MAX_OVERLAP))
    {
      return Some("TWICE: a request goes on at another target while the first still works on it");
    }
    let is_repeated = !run.is_copy && earlier.count() > 0;
    if is_repeated && !request.kind.is_repeatable() {
      return Some("TWICE: a request that must not be repeated runs again");
    }
    let was_in_touch = self.is_in_touch(run.host, run.started_at, Duration::ZERO);
    if was_in_touch && run.draining_since.is_some_and(|since| run.started_at > since + MAX_DRAINING)
    {
      return Some("DRAIN: a run is sent to a target that leaves");
    }
    let hosts = [run.host, request.host];
    let left_at =
      request.left_at.and_then(|left_at| self.in_touch_from(&hosts, left_at, MAX_DEPARTED));
    if let Some(left_at) = left_at {
      if was_in_touch && run.started_at > left_at + MAX_DEPARTED {
        return Some("GONE: a run begins after its caller has left");
      }
      if !run.is_lost && is_active_at(run, left_at + MAX_DEPARTED) {
        return Some("GONE: a run goes on after its caller has left");
      }
    }
    let is_promise = request.status.is_some_and(|status| [408, 421, 429, 503].contains(&status));
    if is_promise && !request.kind.is_repeatable() {
      return Some("REFUSED: a request has run that was refused as not run");
    }
    None
  }

  /// Describes the runs, with times in milliseconds since the first one began.
  pub fn describe(&self) -> String {
    let Some(start) = self.runs.first().map(|run| run.started_at) else {
      return String::new();
    };
    let since = |at: Instant| {
      i128::from((at - start).as_millis() as u64) - i128::from((start - at).as_millis() as u64)
    };
    let runs = self.runs.iter().enumerate().map(|(index, run)| {
      let request = &self.requests[&run.request];
      format!(
        "run {index} of {:?} {} at {}: {} to {:?}, pieces {}+{}, copy {}, lost {}, draining {:?}, caller left {:?}, status {:?}\n",
        request.kind,
        run.request,
        run.process,
        since(run.started_at),
        run.ended_at.map(since),
        run.first,
        run.events.len(),
        run.is_copy,
        run.is_lost,
        run.draining_since.map(since),
        request.left_at.map(since),
        request.status,
      )
    });
    runs.collect()
  }

  /// Returns how many runs there were.
  pub fn runs(&self) -> usize {
    self.runs.len()
  }

  /// Returns how many runs went on from a copy.
  pub fn moved_runs(&self) -> usize {
    self.runs.iter().filter(|run| run.is_copy).count()
  }

  /// Returns whether a run began while an earlier one of its request was still at work.
  pub fn overlaps(&self) -> bool {
    self.runs.iter().enumerate().any(|(index, run)| {
      let mut earlier = self.runs[..index].iter().filter(|earlier| earlier.request == run.request);
      earlier.any(|earlier| earlier.ended_at.is_none_or(|ended_at| ended_at > run.started_at))
    })
  }

  /// Returns whether two hosts had runs of one request.
  pub fn is_passed_on(&self) -> bool {
    let mut pairs = self.runs.iter().flat_map(|a| self.runs.iter().map(move |b| (a, b)));
    pairs.any(|(a, b)| a.request == b.request && a.host != b.host)
  }

  /// Returns how many callers have their whole answer.
  pub fn whole_answers(&self) -> usize {
    self.whole_answers
  }
}
