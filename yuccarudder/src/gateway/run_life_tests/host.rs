use {
  super::{
    caller::{Kind, TIMEOUT},
    fleet::Fleet,
    log::Trouble,
    target,
  },
  crate::{
    clock::Clock,
    dialect::{Dialect, Forwarded, RequestMetadata, ResponseMetadata},
    gateway::{Gateway, engine_polling, heartbeats, ingress, reachability},
    member::{self, Heartbeat},
    reader::{Area, Change, Changes, Subject, Version},
    routing::{CallerLimits, Catalog, Definition, Destination, Engine, Route, Service},
    server::connections,
    settings,
    upstream::Pool,
  },
  futures::future::BoxFuture,
  hyper::{HeaderMap, StatusCode, header::HeaderValue},
  std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, UNIX_EPOCH},
  },
  tokio::{
    net::TcpListener,
    runtime::{Builder, Handle, Runtime},
    task::JoinSet,
    time::{self, Instant},
  },
  tokio_util::sync::CancellationToken,
};

/// The numbers and addresses of the hosts that run.
pub type Addresses = Arc<Mutex<Vec<(usize, SocketAddr)>>>;

/// The gateways of the hosts that run, with what runs them.
pub type Gateways = Arc<Mutex<Vec<Option<(Gateway, Handle)>>>>;

/// Pause between two reads of the store.
const READ_PAUSE: Duration = Duration::from_millis(300);
/// Time for a heartbeat to arrive.
const HEARTBEAT_TIME: Duration = Duration::from_millis(2);

/// What the hosts have in common.
#[derive(Clone)]
pub struct Network {
  /// Hosts whose heartbeats are lost in both directions.
  pub cut: Arc<Mutex<HashSet<usize>>>,
  pub fleet: Arc<Fleet>,
  /// The addresses of all hosts, those that do not run too: for callers, and for other hosts.
  pub addresses: Arc<Vec<(SocketAddr, SocketAddr)>>,
  pub gateways: Gateways,
  /// Runs all that is no host.
  pub outside: Handle,
}

/// A process of a host.
pub struct Host {
  /// For how long it has been frozen, if it is.
  frozen_for: Option<Duration>,
  gateway: Gateway,
  number: usize,
  network: Network,
  runtime: Runtime,
  stop_accepting: CancellationToken,
  tasks: JoinSet<()>,
}

impl Host {
  pub fn start(number: usize, network: &Network, first_start: bool) -> Self {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    let handle = runtime.handle().clone();
    let _context = handle.enter();
    let (callers, peers) = network.addresses[number];
    let text = format!(
      "name: host-{number}\nfirst_start: {first_start}\ndata_centre: kochi\ncallers: {callers}\n\
       readiness: {callers}\ndirectory: {callers}\nmetrics: {callers}\npeers: {peers}\n\
       seeds: [{}]\nstore: {callers}\ncores: 0.25\nlink_mbps: 1000.0\nmemory_mb: 110\n\
       promises:\n  catalog_applied_ms: 2000\n  cold_allowance: 5\n  cold_overage: 1.5\n\
       \x20 directory_keep_s: 5\n  grace_s: 8\n  heartbeat_ms: 1200\n  retry_allowance: 52\n\
       \x20 retry_share: 1.0\n  retry_window_s: 10\n  revocation_ms: 5000\n",
      network.addresses[0].1
    );
    let settings = settings::Gateway::parse("test", &text).unwrap();
    let clock = Clock::new(|| Instant::now().into_std(), || UNIX_EPOCH);
    let dialect = dialect(&network.fleet, &network.outside);
    let gateway = Gateway::new(settings, dialect, Pool::new(clock.clone()), clock);
    let stop_accepting = CancellationToken::new();
    let mut tasks = JoinSet::new();
    let handling = gateway.clone();
    tasks.spawn(connections::serve(
      runtime.block_on(TcpListener::bind(callers)).unwrap(),
      move |request| ingress::handle(handling.clone(), request),
      stop_accepting.clone(),
    ));
    let asked = gateway.clone();
    let handlers = member::Handlers {
      catalog: Box::new(|_| Default::default()),
      is_listening: Box::new(move |target| Box::pin(asked.clone().check_listening(target))),
    };
    let listener = runtime.block_on(TcpListener::bind(peers)).unwrap();
    tasks.spawn(member::serve_calls(listener, Arc::new(handlers)));
    tasks.spawn(read(gateway.clone(), number, Arc::clone(&network.fleet)));
    tasks.spawn(exchange(gateway.clone(), number, network.clone()));
    tasks.spawn(engine_polling::run(gateway.clone()));
    tasks.spawn(reachability::run(gateway.clone()));
    let judging = gateway.clone();
    tasks.spawn(async move { judging.keep_judging_crashes().await });
    network.gateways.lock().unwrap()[number] = Some((gateway.clone(), handle.clone()));
    Self {
      frozen_for: None,
      gateway,
      number,
      network: network.clone(),
      runtime,
      stop_accepting,
      tasks,
    }
  }

  /// Lets the host run until some time has passed for it, unless it is frozen.
  pub fn run(&mut self, duration: Duration) {
    match &mut self.frozen_for {
      Some(frozen_for) => *frozen_for += duration,
      None => self.runtime.block_on(async { time::sleep(duration).await }),
    }
  }

  /// Begins to end the host with the requests that it has in hand.
  pub fn end(&mut self) {
    self.leave();
    self.tasks.abort_all();
    self.stop_accepting.cancel();
    self.gateway.closing.cancel();
  }

  /// Ends the process at once; the kernel closes its connections.
  pub fn kill(self) {
    self.leave();
    self.runtime.shutdown_background();
  }

  pub fn is_frozen(&self) -> bool {
    self.frozen_for.is_some()
  }

  pub fn freeze(&mut self) {
    self.frozen_for = Some(Duration::ZERO);
    self.network.fleet.log().begin_absence(self.number, Trouble::Frozen);
  }

  /// Lets the process run again; its clock has gone on.
  pub fn thaw(&mut self) {
    if let Some(frozen_for) = self.frozen_for.take() {
      self.runtime.block_on(time::advance(frozen_for));
      self.network.fleet.log().end_absence(self.number, Trouble::Frozen);
    }
  }

  fn leave(&self) {
    self.network.gateways.lock().unwrap()[self.number] = None;
    if self.is_frozen() {
      self.network.fleet.log().end_absence(self.number, Trouble::Frozen);
    }
  }
}

/// Reads the store again and again.
async fn read(gateway: Gateway, number: usize, fleet: Arc<Fleet>) {
  loop {
    let now = gateway.clock.since_boot();
    let catalog = Changes {
      changes: vec![Change {
        created: None,
        version: Version::new(0, 1),
        subject: Subject::Catalog(Some("catalog".into())),
      }],
      is_cut: false,
      unreadable: 0,
      version: Version::new(0, 1),
    };
    gateway.apply_snapshot(Area::Operator, catalog, now);
    let snapshot = fleet.snapshot(number);
    gateway.apply_snapshot(Area::Targets, snapshot, now);
    gateway.record_targets_read(now, now);
    gateway.record_read_success(Area::Operator);
    gateway.record_read_success(Area::Targets);
    time::sleep(READ_PAUSE).await;
  }
}

/// Sends heartbeats to the other hosts.
async fn exchange(gateway: Gateway, number: usize, network: Network) {
  for sequence in 1.. {
    gateway.expire_targets();
    let (heartbeat, recipients) = heartbeats::build(&gateway, sequence);
    time::sleep(HEARTBEAT_TIME).await;
    let hosts = recipients.len();
    for recipient in recipients {
      let to = network.addresses.iter().position(|(_, peers)| *peers == recipient.address);
      let to = to.filter(|to| {
        let cut = network.cut.lock().unwrap();
        !cut.contains(to) && !cut.contains(&number)
      });
      let Some(to) = to else { continue };
      let receiver = network.gateways.lock().unwrap()[to].clone();
      if let Some((receiver, handle)) = receiver {
        let mut heartbeat = Heartbeat {
          echo: recipient.echo,
          ..heartbeat.clone()
        };
        for announcement in &mut heartbeat.announcements {
          let address = announcement.address.parse().unwrap();
          announcement.address = network.fleet.address_for(to, address).to_string();
        }
        handle.spawn(async move { heartbeats::receive(&receiver, &heartbeat) });
      }
    }
    let min_pause = member::min_heartbeat_interval(hosts);
    time::sleep(min_pause).await;
    let max_pause = member::heartbeat_interval(hosts).saturating_sub(min_pause);
    let _ = time::timeout(max_pause, gateway.heartbeat_trigger.notified()).await;
  }
}

fn catalog() -> Catalog {
  let kinds = [
    Kind::Resumable,
    Kind::Unrepeatable,
    Kind::Booking,
    Kind::Lookup,
  ];
  let routes = kinds.map(|kind| {
    let route = Route {
      max_runs: 3,
      kind: match kind {
        Kind::Resumable => crate::routing::Kind::Stream { resumable: true },
        Kind::Unrepeatable => crate::routing::Kind::Stream { resumable: false },
        Kind::Booking => crate::routing::Kind::AtMostOnce,
        Kind::Lookup => crate::routing::Kind::Idempotent,
      },
      latency_objective: Duration::from_secs(2),
      name: kind.prefix().to_owned(),
      pause_objective: Duration::from_secs(1),
      prefix: kind.prefix().to_owned(),
      priority: 0,
      public: true,
      destinations: vec![Destination {
        service: if kind.is_stream() {
          target::ENGINES
        } else {
          target::PLAIN
        }
        .to_owned(),
        weight: 1,
      }],
      timeout: TIMEOUT,
    };
    ("model".to_owned(), route)
  });
  let engine = Engine {
    tokens_per_event: 1,
    link_bytes_per_second: 1e9,
    kv_cache_tokens: 100_000,
    relocatable: true,
    slots: 2,
    kv_bytes_per_token: 1e3,
  };
  let service = |name: &str, engine| Service {
    cold_start_rate: None,
    engine,
    health_path: "/health".to_owned(),
    name: name.to_owned(),
  };
  Catalog::new(Definition {
    accounts: None,
    limits: CallerLimits {
      max_body_bytes: 1 << 20,
    },
    routes: routes.into(),
    services: vec![
      service(target::ENGINES, Some(engine)),
      service(target::PLAIN, None),
    ],
    version: 1,
  })
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
  Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
  text(headers, name)?.parse().ok()
}

fn set(headers: &mut HeaderMap, name: &'static str, value: impl ToString) {
  headers.insert(name, HeaderValue::from_str(&value.to_string()).unwrap());
}

fn read_request(headers: &HeaderMap) -> RequestMetadata {
  let milliseconds = |name| number(headers, name).map(Duration::from_millis);
  RequestMetadata {
    credential: None,
    timeout: milliseconds("timeout"),
    last_event_id: number(headers, "last-event-id"),
    forwarded: number(headers, "forwarded-runs").map(|runs| Forwarded {
      is_counted: headers.contains_key("forwarded-counted"),
      possible_runs: runs as u32,
      since_first_attempt: milliseconds("forwarded-since").unwrap_or_default(),
    }),
    length_hint: None,
    max_tokens: number(headers, "pieces").unwrap_or_default(),
    prompt_part_tokens: Vec::new(),
    prompt_parts: Vec::new(),
    prompt_tokens: 100,
    request_id: text(headers, "request"),
    resumes: text(headers, "resumes"),
    unstopped_at: text(headers, "forwarded-unstopped")
      .map(|text| text.split(',').filter_map(|it| it.parse().ok()).collect())
      .unwrap_or_default(),
  }
}

fn read_response(_: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
  ResponseMetadata {
    not_run: headers.contains_key("not-run"),
    request_id: text(headers, "request"),
    signed: headers.contains_key("signed"),
    ..ResponseMetadata::default()
  }
}

/// Has a call run outside of the host that makes it.
fn call<T: Send + 'static>(
  outside: &Handle,
  answer: impl Future<Output = T> + Send + 'static,
) -> BoxFuture<'static, T> {
  let outside = outside.clone();
  Box::pin(async move { outside.spawn(answer).await.unwrap() })
}

/// Returns functions that ask targets directly, and write and read headers that they understand.
fn dialect(fleet: &Arc<Fleet>, outside: &Handle) -> Dialect {
  let (identify, inspect) = (outside.clone(), outside.clone());
  let (release, copy) = (outside.clone(), outside.clone());
  let (identifying, inspecting) = (Arc::clone(fleet), Arc::clone(fleet));
  let (pinging, releasing, copying) = (Arc::clone(fleet), Arc::clone(fleet), Arc::clone(fleet));
  Dialect {
    identify: Arc::new(move |address, _, id| {
      call(&identify, Arc::clone(&identifying).identify(address, id))
    }),
    inspect: Arc::new(move |address| call(&inspect, Arc::clone(&inspecting).inspect(address))),
    ping: Arc::new(move |address, _| {
      let fleet = Arc::clone(&pinging);
      Box::pin(async move { fleet.is_running(address) })
    }),
    read_catalog: |_| Ok(catalog()),
    read_request,
    read_response,
    release: Arc::new(move |address, handle| {
      call(&release, Arc::clone(&releasing).release(address, handle))
    }),
    copy: Arc::new(move |request| call(&copy, Arc::clone(&copying).copy(request))),
    write_handover: |headers, metadata| {
      set(headers, "timeout", metadata.timeout.as_millis());
      set(headers, "forwarded-runs", metadata.forwarded.possible_runs);
      let since = metadata.forwarded.since_first_attempt.as_millis();
      set(headers, "forwarded-since", since);
      if metadata.forwarded.is_counted {
        set(headers, "forwarded-counted", true);
      }
      let unstopped: Vec<_> = metadata.unstopped_at.iter().map(u64::to_string).collect();
      set(headers, "forwarded-unstopped", unstopped.join(","));
      if let Some((last_event_id, began)) = metadata.resume {
        set(headers, "last-event-id", last_event_id);
        set(headers, "resumes", began);
      }
    },
    write_request: |headers, metadata| {
      set(headers, "target", metadata.target);
      set(headers, "timeout", metadata.timeout.as_millis());
      let Some(resume) = metadata.resume else {
        return;
      };
      if let Some(location) = &resume.cache_location {
        set(headers, "copy", location);
      }
      if let Some(last_event_id) = resume.last_event_id {
        set(headers, "last-event-id", last_event_id);
      }
    },
  }
}
