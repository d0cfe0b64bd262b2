use {
  super::{
    log::{self, Log, Trouble},
    target::{self, Target},
  },
  crate::{
    dialect::Report,
    reader::{Change, Changes, Subject, Version},
    relocation::{Copied, CopyRequest, Failure},
    roster::Listing,
  },
  std::{
    collections::BTreeMap,
    iter,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool},
    time::Duration,
  },
  tokio::{
    sync::watch,
    time::{self, Instant},
  },
};

/// Age of what an engine reports.
const REPORT_AGE: Duration = Duration::from_millis(500);
/// Time for a call to an engine to arrive.
const CALL_TIME: Duration = Duration::from_millis(1);

/// The platform's store, which lists the targets.
#[derive(Default)]
pub struct Store {
  entries: BTreeMap<String, (u64, Listing)>,
  revision: u64,
}

impl Store {
  /// Writes or removes an entry.
  pub fn write(&mut self, id: &str, listing: Option<Listing>) {
    self.revision += 1;
    match listing {
      Some(listing) => drop(self.entries.insert(id.to_owned(), (self.revision, listing))),
      None => drop(self.entries.remove(id)),
    }
  }

  /// Returns all entries.
  pub fn snapshot(&self) -> Changes {
    let changes = self.entries.iter().map(|(id, (revision, listing))| Change {
      created: None,
      version: Version::new(0, *revision),
      subject: Subject::Target {
        id: id.as_str().into(),
        listing: Some(listing.clone()),
      },
    });
    Changes {
      changes: changes.collect(),
      is_cut: false,
      unreadable: 0,
      version: Version::new(0, self.revision),
    }
  }
}

/// How long engines take for what hosts ask of them.
#[derive(Clone, Copy)]
pub struct Delays {
  pub copy: Duration,
  pub report: Duration,
}

/// The targets, their store and what was seen of them.
pub struct Fleet {
  /// Whether the links of each host to the targets are cut.
  pub cuts: Vec<watch::Sender<bool>>,
  pub delays: Mutex<Delays>,
  /// Whether the answer of the next run is lost before its head.
  pub loses_next_answer: AtomicBool,
  log: Mutex<Log>,
  store: Mutex<Store>,
  pub targets: Vec<Target>,
}

impl Fleet {
  pub async fn start(hosts: usize, engines: usize, slots: u32) -> Arc<Self> {
    let mut targets = Vec::new();
    let services = iter::repeat_n(target::ENGINES, engines).chain([target::PLAIN; 2]);
    for service in services {
      targets.push(Target::new(hosts, targets.len(), service, slots).await);
    }
    let fleet = Arc::new(Self {
      cuts: (0..hosts).map(|_| watch::Sender::new(false)).collect(),
      delays: Mutex::new(Delays {
        copy: Duration::from_millis(20),
        report: Duration::ZERO,
      }),
      loses_next_answer: AtomicBool::new(false),
      log: Mutex::default(),
      store: Mutex::default(),
      targets,
    });
    for target in &fleet.targets {
      target.start(&fleet).await;
    }
    fleet
  }

  pub fn log(&self) -> MutexGuard<'_, Log> {
    self.log.lock().unwrap()
  }

  pub fn store(&self) -> MutexGuard<'_, Store> {
    self.store.lock().unwrap()
  }

  fn delays(&self) -> Delays {
    *self.delays.lock().unwrap()
  }

  fn at(&self, address: SocketAddr) -> &Target {
    self.targets.iter().find(|target| target.addresses.contains(&address)).unwrap()
  }

  /// Returns the address for a host of the target that has an address for another one.
  pub fn address_for(&self, host: usize, address: SocketAddr) -> SocketAddr {
    self.at(address).addresses[host]
  }

  /// Returns whether the host to which a target has an address reaches it.
  fn reaches(&self, address: SocketAddr) -> bool {
    let host = self.at(address).addresses.iter().position(|it| *it == address).unwrap();
    !*self.cuts[host].borrow()
  }

  /// Cuts the links of a host to the targets, which go on with its runs, or ends the cut.
  pub fn toggle_links(&self, host: usize) {
    self.cuts[host].send_modify(|is_cut| *is_cut = !*is_cut);
    let mut log = self.log();
    if !*self.cuts[host].borrow() {
      log.end_absence(host, Trouble::Cut);
      return;
    }
    log.begin_absence(host, Trouble::Cut);
    for run in log.runs.iter().filter(|run| run.host == host) {
      run.lose.cancel();
    }
  }

  /// Returns the entries of the store as a host reads them.
  pub fn snapshot(&self, host: usize) -> Changes {
    let mut snapshot = self.store().snapshot();
    for change in &mut snapshot.changes {
      if let Subject::Target {
        listing: Some(listing),
        ..
      } = &mut change.subject
      {
        listing.address = self.address_for(host, listing.address);
      }
    }
    snapshot
  }

  pub fn is_running(&self, address: SocketAddr) -> bool {
    self.reaches(address) && self.at(address).process().is_some()
  }

  /// Reports the status of an engine as it was some time ago.
  pub async fn inspect(self: Arc<Self>, address: SocketAddr) -> Option<Report> {
    time::sleep(CALL_TIME).await;
    let report = self.report(address);
    time::sleep(self.delays().report).await;
    report.filter(|_| self.reaches(address))
  }

  fn report(&self, address: SocketAddr) -> Option<Report> {
    let process = self.at(address).process()?;
    let at = Instant::now() - REPORT_AGE;
    let log = self.log();
    let runs = log.runs.iter().filter(|run| {
      let has_begun = run.process == process.id && run.started_at <= at;
      has_begun && run.ended_at.is_none_or(|ended_at| at < ended_at)
    });
    let runs = runs.map(|run| {
      let made = run.events.iter().filter(|made_at| **made_at <= at).count();
      (run.request.clone(), Some(run.first + made as u64))
    });
    let is_leaving = process.draining_since.is_some_and(|since| since <= at);
    Some(Report {
      shutdown_in: process.leaves_at.filter(|_| is_leaving).map(|leaves_at| leaves_at - at),
      started_ms: Some(process.id.started_ms()),
      runs: Some(runs.collect()),
    })
  }

  /// Returns whether a plain target answers that has an ID.
  pub async fn identify(self: Arc<Self>, address: SocketAddr, id: Arc<str>) -> Option<bool> {
    time::sleep(CALL_TIME).await;
    let process = self.at(address).process().filter(|_| self.reaches(address))?;
    Some(process.id.to_string() == *id)
  }

  /// Copies a run to another engine.
  pub async fn copy(self: Arc<Self>, request: CopyRequest) -> Result<Copied, Failure> {
    let unreachable = || Failure::Unclear("no connection".to_owned());
    time::sleep(CALL_TIME).await;
    if !self.reaches(request.source) {
      return Err(unreachable());
    }
    let process = self.at(request.source).process().ok_or_else(unreachable)?;
    {
      let log = self.log();
      let is_run = |run: &&log::Run| {
        run.process == process.id && run.request == request.request_id && run.ended_at.is_none()
      };
      let run = log.runs.iter().find(is_run).ok_or(Failure::Unknown)?;
      if request.stop_first {
        run.stop.cancel();
      }
    }
    let handle = self.at(request.source).next_handle();
    let kept = request.stop_first.then(|| handle.clone());
    let Some(place) = self.at(request.destination).hold_place(&handle, &self) else {
      return Err(Failure::NoRoom(kept));
    };
    time::sleep(self.delays().copy).await;
    if self.at(request.source).process().is_none_or(|now| now.id != process.id) {
      self.at(request.destination).drop_copy(&handle);
      return Err(unreachable());
    }
    if self.at(request.destination).process().is_none_or(|now| now.id != place) {
      return Err(Failure::NoRoom(kept));
    }
    if !self.reaches(request.source) {
      return Err(unreachable());
    }
    let log = self.log();
    let run = log.runs.iter().rev().find(|run| run.request == request.request_id);
    let events = run.map_or(0, |run| run.first + run.events.len() as u64);
    Ok(Copied { events, handle })
  }

  /// Frees a copy at both ends.
  pub async fn release(self: Arc<Self>, address: SocketAddr, handle: String) {
    time::sleep(CALL_TIME).await;
    if !self.reaches(address) {
      return;
    }
    for target in &self.targets {
      target.drop_copy(&handle);
    }
  }
}
