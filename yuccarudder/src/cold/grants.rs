use {
  crate::owner::Timing,
  serde::{Deserialize, Serialize},
  std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Identifies one granted job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Grant {
  /// The incarnation of the target.
  pub incarnation: u64,
  /// Number that identifies the grant among all grants of its owner.
  pub number: u64,
  /// The target.
  pub target: SocketAddr,
}

/// Bookkeeping of the jobs that an owner has granted at one process of a cold target.
#[derive(Clone, Debug)]
struct Usage {
  /// Upper bound of the jobs that earlier owners granted.
  inherited: u64,
  /// When each grant that is not released was made, by number.
  granted: HashMap<u64, Instant>,
  /// When the last grant was requested.
  last_request: Instant,
}

impl Usage {
  /// Returns an upper bound of the jobs that the target has.
  ///
  /// A grant older than `settle_time` is not added to the reported jobs, as its job is among
  /// them or has ended.
  fn max_running(&self, reported: u64, settle_time: Duration, now: Instant) -> u64 {
    let is_unsettled =
      |granted_at: &&Instant| now.saturating_duration_since(**granted_at) < settle_time;
    let unsettled = self.granted.values().filter(is_unsettled).count() as u64;
    let settled = self.granted.len() as u64 - unsettled;
    unsettled + reported.min(settled + self.inherited)
  }
}

/// Address and incarnation of a target, so that a late request for an earlier process does not
/// affect the count of the current one.
type Process = (SocketAddr, u64);

/// A request to run one job at a cold target.
#[derive(Clone, Copy, Debug)]
pub struct Request {
  /// Most jobs that the target may have during its cold start.
  pub max_jobs: u64,
  /// The incarnation of the target.
  pub incarnation: u64,
  /// Number of jobs that the target reports.
  pub reported_jobs: u64,
  /// The target.
  pub target: SocketAddr,
}

/// The jobs that this host has granted at the cold targets that it owns.
#[derive(Clone, Debug, Default)]
pub struct Grants {
  usages: HashMap<Process, Usage>,
  last_number: u64,
}

impl Grants {
  /// Grants a job unless the target may already have as many as it is allowed.
  ///
  /// The first report of a process covers all jobs that earlier owners granted there, and
  /// their number only falls. Once a grant is settled, its job is in the report or has ended,
  /// so the grant of a host that died stops counting. Usage without a request for
  /// `timing.takeover_wait()` is discarded, as another host may have been the owner since.
  pub fn grant(&mut self, request: Request, timing: &Timing, now: Instant) -> Option<Grant> {
    let Request {
      max_jobs,
      incarnation,
      reported_jobs,
      target,
    } = request;
    let is_recent =
      |usage: &Usage| now.saturating_duration_since(usage.last_request) < timing.takeover_wait();
    self.usages.retain(|_, usage| is_recent(usage));
    let usage = self.usages.entry((target, incarnation)).or_insert_with(|| Usage {
      inherited: reported_jobs,
      granted: HashMap::new(),
      last_request: now,
    });
    usage.inherited = usage.inherited.min(reported_jobs);
    usage.last_request = now;
    if usage.max_running(reported_jobs, timing.settle_time(), now) >= max_jobs {
      return None;
    }
    self.last_number += 1;
    usage.granted.insert(self.last_number, now);
    Some(Grant {
      incarnation,
      number: self.last_number,
      target,
    })
  }

  /// Stops counting a grant after its job has ended.
  pub fn release(&mut self, grant: Grant) {
    if let Some(usage) = self.usages.get_mut(&(grant.target, grant.incarnation)) {
      usage.granted.remove(&grant.number);
    }
  }
}
