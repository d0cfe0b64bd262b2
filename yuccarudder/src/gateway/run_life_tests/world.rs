use {
  super::{
    Event,
    caller::{Caller, Order, TIMEOUT},
    fleet::{Delays, Fleet},
    host::{Addresses, Host, Network},
    log::Log,
    target::{Id, Target},
  },
  crate::settings,
  std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
  },
  tokio::{
    runtime::{Builder, Runtime},
    time::{self, Instant},
  },
};

/// Virtual time passes by this much whenever nothing else is to be done; packets on loopback take no longer.
const TICK: Duration = Duration::from_millis(3);
/// Time for which a host that ends still sends its last answers.
const LAST_ANSWERS: Duration = Duration::from_millis(50);
/// Time in which hosts that have started know each other and the targets.
const START: Duration = Duration::from_millis(700);
/// Time after the deadlines of all requests in which the last runs are stopped.
const MARGIN: Duration = Duration::from_secs(1);

/// Hosts, targets and callers.
pub struct World {
  /// The addresses of the hosts that run, for callers.
  addresses: Addresses,
  callers: Vec<Caller>,
  /// Hosts that end, and for how long they still run.
  ending: Vec<(Host, Duration)>,
  fleet: Arc<Fleet>,
  hosts: Vec<Option<Host>>,
  network: Network,
  runtime: Runtime,
}

impl World {
  pub fn new(host_count: usize, slots: u32) -> Self {
    Self::with_engines(host_count, 2, slots)
  }

  pub fn with_engines(host_count: usize, engines: usize, slots: u32) -> Self {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    let fleet = runtime.block_on(Fleet::start(host_count, engines, slots));
    let addresses = runtime.block_on(async {
      let mut addresses = Vec::new();
      for _ in 0..host_count {
        addresses.push((super::free_address().await, super::free_address().await));
      }
      addresses
    });
    let network = Network {
      cut: Arc::default(),
      fleet: Arc::clone(&fleet),
      addresses: Arc::new(addresses),
      gateways: Arc::new(Mutex::new((0..host_count).map(|_| None).collect())),
      outside: runtime.handle().clone(),
    };
    let mut world = Self {
      addresses: Addresses::default(),
      callers: Vec::new(),
      ending: Vec::new(),
      fleet,
      hosts: (0..host_count).map(|_| None).collect(),
      network,
      runtime,
    };
    world.start_hosts(true);
    world.run(START);
    world
  }

  /// Lets all hosts that run consider the pace of targets.
  pub fn consider_paces(&self) {
    for (gateway, _) in self.network.gateways.lock().unwrap().iter().flatten() {
      let mut settings = settings::Gateway::clone(&gateway.settings());
      settings.placement.pace = true;
      gateway.apply_settings(settings);
    }
  }

  /// Returns how many targets each host that runs knows the pace of.
  pub fn known_paces(&self) -> Vec<usize> {
    let gateways = self.network.gateways.lock().unwrap();
    gateways.iter().flatten().map(|(gateway, _)| gateway.lock().paces.len()).collect()
  }

  fn start_hosts(&mut self, first_start: bool) {
    for number in 0..self.hosts.len() {
      if self.hosts[number].is_none() {
        self.hosts[number] = Some(Host::start(number, &self.network, first_start));
      }
    }
    self.list_hosts();
  }

  fn list_hosts(&self) {
    let addresses = self.network.addresses.iter().map(|(callers, _)| *callers).enumerate();
    let running = addresses.filter(|(number, _)| self.hosts[*number].is_some());
    *self.addresses.lock().unwrap() = running.collect();
  }

  fn start_targets(&self) {
    self.runtime.block_on(async {
      for target in &self.fleet.targets {
        target.start(&self.fleet).await;
      }
    });
  }

  /// Returns a run that goes on, its request and its process.
  fn find_run(&self, number: usize) -> Option<(usize, String, Id)> {
    let log = self.fleet.log();
    let runs = log.runs.iter().enumerate().filter(|(_, run)| run.ended_at.is_none());
    let runs: Vec<_> = runs.map(|(index, run)| (index, run.request.clone(), run.process)).collect();
    runs.get(number % runs.len().max(1)).cloned()
  }

  fn find_target(&self, run: usize) -> Option<&Target> {
    let (_, _, process) = self.find_run(run)?;
    self
      .fleet
      .targets
      .iter()
      .find(|target| target.process().is_some_and(|it| it.id == process))
  }

  /// Returns the other target of the same service as that of a run.
  fn find_other_target(&self, run: usize) -> Option<&Target> {
    let target = self.find_target(run)?;
    let mut others = self.fleet.targets.iter();
    others.find(|it| it.is_engine() == target.is_engine() && it.addresses != target.addresses)
  }

  pub fn play(&mut self, event: Event) {
    let runtime = self.runtime.handle().clone();
    let _context = runtime.enter();
    let fleet = Arc::clone(&self.fleet);
    let hosts = self.hosts.len();
    match event {
      Event::Begin {
        host,
        kind,
        is_framed,
        pieces,
      } => {
        let order = Order {
          host,
          is_framed,
          key: format!("{:02}", self.callers.len()),
          kind,
          pieces,
        };
        self.callers.push(Caller::start(order, &fleet, Arc::clone(&self.addresses)));
      }
      Event::Crash { run } => {
        if let Some(target) = self.find_target(run) {
          target.crash(&fleet);
        }
      }
      Event::CutHosts { host } => {
        let mut cut = self.network.cut.lock().unwrap();
        if !cut.remove(&(host % hosts)) {
          cut.insert(host % hosts);
        }
      }
      Event::CutLinks { host } => fleet.toggle_links(host % hosts),
      Event::EndHost { host } => {
        if let Some(mut host) = self.hosts[host % hosts].take() {
          host.thaw();
          host.end();
          self.ending.push((host, LAST_ANSWERS));
        }
        self.list_hosts();
      }
      Event::FreezeHost { host } => {
        if let Some(host) = &mut self.hosts[host % hosts] {
          if host.is_frozen() {
            host.thaw();
          } else {
            host.freeze();
          }
        }
      }
      Event::KillHost { host } => {
        if let Some(host) = self.hosts[host % hosts].take() {
          host.kill();
        }
        self.list_hosts();
      }
      Event::Leave { run, notice_ms } => {
        if let Some(target) = self.find_target(run) {
          target.leave(&fleet, Duration::from_millis(notice_ms));
        }
      }
      Event::LeaveElsewhere { run, notice_ms } => {
        if let Some(target) = self.find_other_target(run) {
          target.leave(&fleet, Duration::from_millis(notice_ms));
        }
      }
      Event::LeaveCaller { run } => {
        let waiting: Vec<_> = self.callers.iter().filter(|caller| caller.is_waiting()).collect();
        if let Some(caller) = waiting.get(run % waiting.len().max(1)) {
          caller.leave();
        }
      }
      Event::LoseAnswer { run } => {
        if let Some((index, ..)) = self.find_run(run) {
          fleet.log().runs[index].lose.cancel();
        }
      }
      Event::LoseNextAnswer => fleet.loses_next_answer.store(true, Ordering::Relaxed),
      Event::RestartTargets => self.start_targets(),
      Event::RestartHosts => self.start_hosts(false),
      Event::Slow { copy_ms, report_ms } => {
        *fleet.delays.lock().unwrap() = Delays {
          copy: Duration::from_millis(copy_ms),
          report: Duration::from_millis(report_ms),
        };
      }
    }
  }

  /// Lets virtual time pass.
  pub fn run(&mut self, duration: Duration) {
    let end = self.now() + duration;
    while self.now() < end {
      self.runtime.block_on(async { time::sleep(TICK).await });
      for host in self.hosts.iter_mut().flatten() {
        host.run(TICK);
      }
      for (host, time_left) in &mut self.ending {
        host.run(TICK);
        *time_left = time_left.saturating_sub(TICK);
      }
      self.ending.retain(|(_, time_left)| !time_left.is_zero());
    }
  }

  fn now(&self) -> Instant {
    let _context = self.runtime.enter();
    Instant::now()
  }

  /// Lets all requests come to their ends.
  pub fn settle(&mut self) {
    let runtime = self.runtime.handle().clone();
    let context = runtime.enter();
    self.hosts.iter_mut().flatten().for_each(Host::thaw);
    drop(context);
    for _ in 0..TIMEOUT.as_secs() {
      if !self.callers.iter().any(Caller::is_waiting) {
        break;
      }
      self.run(Duration::from_secs(1));
    }
    self.run(MARGIN);
  }

  pub fn check(&self) {
    let now = self.now();
    self.fleet.log().check(now);
  }

  pub fn log(&self) -> MutexGuard<'_, Log> {
    self.fleet.log()
  }
}
