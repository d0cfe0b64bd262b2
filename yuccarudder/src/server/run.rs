use {
  super::{callers, connections, operators},
  crate::{
    clock::Clock,
    drain::Plan,
    gossip,
    host::Host,
    peer::{self, Notice},
    platform::{self, Key},
    settings,
    view::HostState,
  },
  anyhow::Context,
  std::{net::SocketAddr, time::Duration},
  tokio::{net::TcpListener, task::JoinSet, time},
  tokio_util::sync::CancellationToken,
};

const IDLE_POLL: Duration = Duration::from_millis(50);
const PREFIX: &str = "serve";

/// A host whose addresses are bound.
pub struct Server {
  callers: TcpListener,
  host: Host,
  operators: TcpListener,
  peers: TcpListener,
}

impl Server {
  /// Binds the addresses of a host.
  ///
  /// # Errors
  ///
  /// Fails when an address cannot be bound.
  pub async fn bind(settings: settings::Host, clock: Clock) -> anyhow::Result<Self> {
    Ok(Self {
      callers: bind("callers", settings.callers).await?,
      operators: bind("operators", settings.operators).await?,
      peers: bind("peers", settings.peers).await?,
      host: Host::new(settings, clock),
    })
  }

  /// Returns the state of the host.
  pub fn host(&self) -> &Host {
    &self.host
  }
}

async fn bind(key: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
  TcpListener::bind(address)
    .await
    .with_context(|| format!("cannot listen on `{key}` {address}; is it this host's and free?"))
}

/// Serves until `stop` resolves or the platform shows the host leaving, then stops gracefully.
pub async fn run(server: Server, stop: impl Future<Output = ()>) {
  let Server {
    callers,
    host,
    operators,
    peers,
  } = server;
  let closed = CancellationToken::new();
  let mut tasks = JoinSet::new();
  for key in [Key::Hosts, Key::Settings] {
    tasks.spawn(platform::watch(host.clone(), key));
  }
  tasks.spawn(follow(host.clone()));
  tasks.spawn(greet(host.clone()));
  tasks.spawn(gossip::run(host.clone()));
  tasks.spawn(peer::serve(host.clone(), peers));
  let state = host.clone();
  tasks.spawn(connections::serve(
    operators,
    move |request| operators::handle(state.clone(), request),
    CancellationToken::new(),
  ));
  let state = host.clone();
  let serving = tokio::spawn(connections::serve(
    callers,
    move |request| callers::handle(state.clone(), request),
    closed.clone(),
  ));
  log::info!(target: PREFIX, "Serving callers on {}.", host.settings.callers);
  tokio::select! {
    () = stop => {}
    () = listed_leaving(&host) => {}
  }
  drain(&host, closed).await;
  // Connections end once their last response is out.
  let _ = serving.await;
  log::info!(target: PREFIX, "Stopped.");
}

async fn drain(host: &Host, closed: CancellationToken) {
  let knobs = host.tree().map(|tree| tree.operator_settings()).unwrap_or_default();
  let plan = Plan::new(host.clock.now(), &knobs);
  host.drain.begin(plan);
  log::info!(target: PREFIX, "Leaving; new jobs are taken for {:?} more.", plan.quiet);
  if host.tree().is_err() {
    closed.cancel();
    return;
  }
  peer::announce(host, Notice::Leaving).await;
  time::sleep_until((plan.begun + plan.quiet).into()).await;
  log::info!(target: PREFIX, "Closed; {} jobs in hand.", host.limits.total());
  while host.limits.total() > 0 {
    time::sleep(IDLE_POLL).await;
  }
  // An answer on its way to another host is not counted as a job any more.
  host.forwarded.close();
  host.forwarded.wait().await;
  closed.cancel();
}

/// Keeps the targets in line with the settings.
async fn follow(host: Host) {
  let mut view = host.view.subscribe();
  loop {
    let tree = view.borrow_and_update().tree();
    if let Some(tree) = tree {
      host.targets.lock().reconcile(&tree);
    }
    // Each list must be recorded when it comes into force.
    drop(host.ownership());
    if view.changed().await.is_err() {
      return;
    }
  }
}

/// Asks the other hosts for their views, then tells them that this one serves.
async fn greet(host: Host) {
  gossip::join(&host).await;
  peer::announce(&host, Notice::Serving).await;
}

async fn listed_leaving(host: &Host) {
  let mut view = host.view.subscribe();
  let this = host.settings.callers;
  let leaving = view.wait_for(|view| {
    let hosts = view.hosts.accepted.as_ref();
    let entry = hosts.and_then(|accepted| accepted.document.find(this));
    entry.is_some_and(|entry| entry.state == HostState::Leaving)
  });
  // The sender lives as long as the host.
  let _ = leaving.await;
}
