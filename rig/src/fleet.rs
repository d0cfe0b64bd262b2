//! A complete fleet on loopback: platform, engines, a plain service and entry hosts.
//!
//! Each host and stand-in has its own Tokio runtime, so that it can be killed with all its tasks
//! and connections.

use {
  crate::{
    address, endpoint,
    engine::{Config, Engine},
    plain::PlainServer,
    platform::Platform,
  },
  anyhow::Context,
  base64::{Engine as _, engine::general_purpose::STANDARD},
  hyper::{Request, Response, body::Incoming},
  std::{collections::BTreeMap, fmt::Write, mem, net::SocketAddr, time::Duration},
  tokio::{
    net::TcpListener,
    runtime::Runtime,
    sync::oneshot,
    task::{self, JoinHandle},
    time,
  },
  yuccarudder::{
    caller::Client,
    clock::Clock,
    host::Host,
    http::Body,
    server::{self, Server},
    settings::{self, LogFormat},
    tree::Account,
  },
};

/// The bearer credential of the fleet's client account.
pub const CREDENTIAL: &str = "sk-parents";
/// The data centres of the fleet.
pub const DATA_CENTRES: [&str; 3] = ["east-dist", "north-dist", "xiangshan"];
/// The thread name of all entry hosts.
pub const HOST_THREAD_NAME: &str = "entry-host";
/// The secret of the fleet's signing key `k1`.
pub const SECRET: [u8; 32] = [7; 32];
/// The engine service of the fleet.
pub const MODEL: &str = "assistant-llm";
/// The plain service of the fleet.
pub const SERVICE: &str = "booking-app";

const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
  /// Number of client accounts besides the one that is used.
  pub accounts: usize,
  /// Number of engines.
  pub engines: usize,
  /// Longest time for which the platform holds a host's long poll.
  pub poll: Duration,
  /// Number of threads of each entry host.
  pub host_threads: usize,
  /// Number of entry hosts.
  pub hosts: usize,
  /// Lines under `overrides` in the settings tree, such as `entries_keep: 1s`.
  pub overrides: Vec<String>,
  /// Number of targets of a service that receives no requests.
  pub unused_targets: usize,
  /// Number of plain servers.
  pub plain_servers: usize,
  /// Configuration of the engines.
  pub engine_config: Config,
}

impl Default for Options {
  fn default() -> Self {
    Self {
      accounts: 0,
      engines: 3,
      host_threads: 1,
      hosts: 3,
      overrides: vec!["entries_keep: 1s".into(), "ticket_life: 3s".into()],
      unused_targets: 0,
      plain_servers: 2,
      poll: Duration::from_secs(2),
      engine_config: Config::default(),
    }
  }
}

/// A runtime that is shut down, with all its tasks and connections, when it is dropped.
struct ScopedRuntime(Option<Runtime>);

impl ScopedRuntime {
  fn new(name: &str, threads: usize) -> anyhow::Result<Self> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
      .thread_name(name)
      .worker_threads(threads)
      .enable_all()
      .build()
      .context("cannot start a runtime")?;
    Ok(Self(Some(runtime)))
  }

  /// Shuts the runtime down and waits until its tasks have ended, for at most
  /// [`SHUTDOWN_TIMEOUT`].
  async fn shut_down(mut self) {
    if let Some(runtime) = self.0.take() {
      let ended = task::spawn_blocking(|| runtime.shutdown_timeout(SHUTDOWN_TIMEOUT));
      let _ = ended.await;
    }
  }

  fn spawn<T: Send + 'static>(
    &self,
    future: impl Future<Output = T> + Send + 'static,
  ) -> Option<JoinHandle<T>> {
    Some(self.0.as_ref()?.spawn(future))
  }
}

impl Drop for ScopedRuntime {
  fn drop(&mut self) {
    if let Some(runtime) = self.0.take() {
      runtime.shutdown_background();
    }
  }
}

/// A running stand-in server and its address.
pub struct StandIn<T> {
  /// The address on which it listens.
  pub address: SocketAddr,
  runtime: ScopedRuntime,
  /// The server, to read its state and inject faults.
  pub server: T,
}

impl<T> StandIn<T> {
  /// Ends the server and all its connections at once.
  pub async fn kill(&mut self) {
    mem::replace(&mut self.runtime, ScopedRuntime(None)).shut_down().await;
  }
}

/// A process of an entry host, simulated by its own runtime.
struct Process {
  serve_task: JoinHandle<()>,
  host: Host,
  runtime: ScopedRuntime,
  stop: oneshot::Sender<()>,
}

/// An entry host and its process, if it runs.
pub struct EntryHost {
  process: Option<Process>,
  /// The content of its settings file.
  pub settings: settings::Host,
  threads: usize,
}

impl EntryHost {
  /// Returns the state of the process, or `None` if it does not run.
  pub fn host(&self) -> Option<&Host> {
    self.process.as_ref().map(|process| &process.host)
  }

  /// Ends the process and all its connections at once.
  pub async fn kill(&mut self) {
    if let Some(process) = self.process.take() {
      process.runtime.shut_down().await;
    }
  }

  /// Starts a new process and waits until it is ready.
  ///
  /// # Errors
  ///
  /// Fails if an address cannot be bound or the host does not become ready in time.
  pub async fn start(&mut self) -> anyhow::Result<()> {
    self.spawn().await?;
    let host = self.host().context("the process does not run")?.clone();
    wait_ready(&host).await
  }

  /// Starts a new process without waiting until it is ready.
  ///
  /// # Errors
  ///
  /// Fails if an address cannot be bound.
  pub async fn spawn(&mut self) -> anyhow::Result<()> {
    const SHUT_DOWN: &str = "the runtime has been shut down";
    let runtime = ScopedRuntime::new(HOST_THREAD_NAME, self.threads)?;
    let settings = self.settings.clone();
    let binding = runtime.spawn(Server::bind(settings, Clock::system())).context(SHUT_DOWN)?;
    let server = binding.await??;
    let host = server.host().clone();
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async {
      let _ = stopped.await;
    };
    let serve_task = runtime.spawn(server::run(server, stopped)).context(SHUT_DOWN)?;
    self.process = Some(Process {
      serve_task,
      host,
      runtime,
      stop,
    });
    Ok(())
  }

  /// Stops the process gracefully and waits until it has ended.
  pub async fn stop(&mut self) {
    if let Some(process) = self.process.take() {
      let _ = process.stop.send(());
      let _ = process.serve_task.await;
      process.runtime.shut_down().await;
    }
  }
}

/// A complete fleet.
pub struct Fleet {
  /// The model engines.
  pub engines: Vec<StandIn<Engine>>,
  /// The entry hosts.
  pub hosts: Vec<EntryHost>,
  options: Options,
  /// The plain servers.
  pub plain_servers: Vec<StandIn<PlainServer>>,
  /// The platform.
  pub platform: StandIn<Platform>,
}

impl Fleet {
  /// Returns a client that knows all hosts.
  pub fn client(&self) -> Client {
    let hosts = self.hosts.iter().map(|host| host.settings.callers).collect();
    Client::new(Clock::system(), hosts, CREDENTIAL)
  }

  /// Renders the list of hosts; `leaving` holds the indices of hosts in the state `leaving`.
  pub fn host_list(&self, leaving: &[usize]) -> String {
    let hosts = self.hosts.iter().map(|host| &host.settings);
    host_list(hosts, leaving)
  }

  /// Returns how often each job ran, by job name, summed over all plain servers.
  pub fn runs(&self) -> BTreeMap<String, u64> {
    let mut total = BTreeMap::new();
    for stand_in in &self.plain_servers {
      for (job, runs) in stand_in.server.runs() {
        *total.entry(job).or_default() += runs;
      }
    }
    total
  }

  /// Starts a fleet and waits until every host is ready.
  ///
  /// # Errors
  ///
  /// Fails if an address cannot be bound or a host does not become ready in time.
  pub async fn start(options: Options) -> anyhow::Result<Self> {
    let mut fleet = Self::start_without_hosts(options).await?;
    for host in &mut fleet.hosts {
      host.start().await?;
    }
    Ok(fleet)
  }

  /// Starts the stand-ins but not the hosts.
  ///
  /// # Errors
  ///
  /// Fails if an address cannot be bound.
  pub async fn start_without_hosts(options: Options) -> anyhow::Result<Self> {
    let mut engines = Vec::new();
    for _ in 0..options.engines {
      engines.push(start_engine(address::unused(), options.engine_config).await?);
    }
    let mut plain_servers = Vec::new();
    for _ in 0..options.plain_servers {
      plain_servers.push(start_plain().await?);
    }
    let platform_address = address::unused();
    let settings: Vec<settings::Host> = (0..options.hosts)
      .map(|index| host_settings(index, platform_address, options.poll))
      .collect();
    let tree = tree(&options, &engines, &plain_servers, &[]);
    let hosts = host_list(settings.iter(), &[]);
    let platform = Platform::new(tree, hosts);
    let platform = start(platform_address, platform, |platform, request| {
      platform.handle(request)
    })
    .await?;
    let threads = options.host_threads;
    let hosts = settings.into_iter().map(|settings| EntryHost {
      process: None,
      settings,
      threads,
    });
    Ok(Self {
      engines,
      hosts: hosts.collect(),
      options,
      plain_servers,
      platform,
    })
  }

  /// Starts a new engine at the address of one that was killed.
  ///
  /// # Errors
  ///
  /// Fails if its address cannot be bound.
  pub async fn restart_engine(&mut self, index: usize) -> anyhow::Result<()> {
    let address = self.engines[index].address;
    self.engines[index] = start_engine(address, self.options.engine_config).await?;
    Ok(())
  }

  /// Renders the settings tree with the given data centres out of service.
  pub fn tree(&self, out_of_service: &[&str]) -> String {
    tree(
      &self.options,
      &self.engines,
      &self.plain_servers,
      out_of_service,
    )
  }
}

fn host_list<'a>(hosts: impl Iterator<Item = &'a settings::Host>, leaving: &[usize]) -> String {
  let mut text = String::from("hosts:\n");
  for (index, host) in hosts.enumerate() {
    let state = if leaving.contains(&index) {
      "leaving"
    } else {
      "live"
    };
    let (callers, peers, data_centre) = (host.callers, host.peers, &host.data_centre);
    let _ = writeln!(
      text,
      "- {{callers: \"{callers}\", peers: \"{peers}\", data_centre: {data_centre}, state: {state}}}"
    );
  }
  text
}

fn host_settings(index: usize, platform: SocketAddr, poll: Duration) -> settings::Host {
  settings::Host {
    callers: address::unused(),
    data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
    key: None,
    log: LogFormat::Text,
    operators: address::unused(),
    peers: address::unused(),
    platform,
    poll,
    seeds: Vec::new(),
  }
}

/// Writes a service with targets that receive no requests.
fn write_unused_targets(text: &mut String, count: usize) {
  if count == 0 {
    return;
  }
  let _ = writeln!(text, "  phantom:\n    kind: engine\n    targets:");
  for index in 0..count {
    let [.., high, low] = index.to_be_bytes();
    let address = format!("10.9.{high}.{low}:80");
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let _ = writeln!(
      text,
      "      p{index}: {{address: \"{address}\", data_centre: {data_centre}}}"
    );
  }
}

async fn start_engine(address: SocketAddr, config: Config) -> anyhow::Result<StandIn<Engine>> {
  let engine = Engine::new(config);
  let stand_in = start(address, engine.clone(), |engine, request| {
    engine.handle(request)
  });
  let stand_in = stand_in.await?;
  stand_in.runtime.spawn(engine.run());
  Ok(stand_in)
}

async fn start_plain() -> anyhow::Result<StandIn<PlainServer>> {
  start(
    address::unused(),
    PlainServer::default(),
    |server, request| server.handle(request),
  )
  .await
}

/// Starts a stand-in on its own runtime.
async fn start<T, F>(
  address: SocketAddr,
  server: T,
  handle: impl Fn(T, Request<Incoming>) -> F + Clone + Send + 'static,
) -> anyhow::Result<StandIn<T>>
where
  T: Clone + Send + Sync + 'static,
  F: Future<Output = Response<Body>> + Send + 'static,
{
  let listener = TcpListener::bind(address).await?.into_std()?;
  let runtime = ScopedRuntime::new("stand-in", 1)?;
  let state = server.clone();
  runtime.spawn(async move {
    let listener = TcpListener::from_std(listener).expect("the listener is valid");
    endpoint::serve(listener, move |request| handle(state.clone(), request)).await;
  });
  Ok(StandIn {
    address,
    runtime,
    server,
  })
}

fn write_targets<T>(text: &mut String, stand_ins: &[StandIn<T>]) {
  let _ = writeln!(text, "    targets:");
  for (index, stand_in) in stand_ins.iter().enumerate() {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let address = stand_in.address;
    let _ = writeln!(
      text,
      "      t{index}: {{address: \"{address}\", data_centre: {data_centre}}}"
    );
  }
}

fn tree(
  options: &Options,
  engines: &[StandIn<Engine>],
  plain_servers: &[StandIn<PlainServer>],
  out_of_service: &[&str],
) -> String {
  let secret = STANDARD.encode(SECRET);
  let mut text = format!("operator: rig\nkeys:\n- {{id: k1, secret: {secret}}}\n");
  text.push_str("overrides:\n");
  for line in &options.overrides {
    let _ = writeln!(text, "  {line}");
  }
  text.push_str("data_centres:\n");
  for name in DATA_CENTRES {
    let state = if out_of_service.contains(&name) {
      "out"
    } else {
      "in"
    };
    let _ = writeln!(text, "  {name}: {{state: {state}}}");
  }
  let _ = writeln!(
    text,
    "services:\n  {MODEL}:\n    kind: engine\n    traits: {{reports_cold: true, resume: true}}"
  );
  write_targets(&mut text, engines);
  let _ = writeln!(text, "  {SERVICE}:\n    kind: plain");
  text.push_str("    repeatable:\n    - {method: GET, path: /slots}\n");
  write_targets(&mut text, plain_servers);
  write_unused_targets(&mut text, options.unused_targets);
  let digest = base16ct::lower::encode_string(&Account::digest(CREDENTIAL));
  let _ = writeln!(
    text,
    "accounts:\n  parents: {{credentials: [\"{digest}\"]}}"
  );
  for index in 0..options.accounts {
    let _ = writeln!(
      text,
      "  account{index}: {{credentials: [\"{index:064x}\"]}}"
    );
  }
  text
}

async fn wait_ready(host: &Host) -> anyhow::Result<()> {
  let ready = async {
    loop {
      let targets = host.targets.lock().rows().len();
      if host.serving_tree().is_ok() && targets > 0 {
        return;
      }
      time::sleep(READY_POLL_INTERVAL).await;
    }
  };
  time::timeout(READY_TIMEOUT, ready).await.context("the host did not become ready in time")
}
