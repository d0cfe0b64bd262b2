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

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
const PREFIX: &str = "serve";

/// A host whose listeners are bound.
pub struct Server {
  callers: TcpListener,
  host: Host,
  operators: TcpListener,
  peers: TcpListener,
}

impl Server {
  /// Binds the listeners of a host.
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
  TcpListener::bind(address).await.with_context(|| {
    format!(
      "cannot listen on `{key}` {address}; is it an address of this host, and is the port in use?"
    )
  })
}

/// Serves until `stop` resolves or the host list marks the host as leaving, then shuts down
/// gracefully.
pub async fn run(server: Server, stop: impl Future<Output = ()>) {
  let Server {
    callers,
    host,
    operators,
    peers,
  } = server;
  let close = CancellationToken::new();
  let mut tasks = JoinSet::new();
  for key in [Key::Hosts, Key::Settings] {
    tasks.spawn(platform::watch(host.clone(), key));
  }
  tasks.spawn(reconcile_targets(host.clone()));
  tasks.spawn(join_peers(host.clone()));
  tasks.spawn(gossip::run(host.clone()));
  tasks.spawn(peer::serve(host.clone(), peers));
  let state = host.clone();
  tasks.spawn(connections::serve(
    operators,
    move |request| operators::handle(state.clone(), request),
    CancellationToken::new(),
  ));
  let state = host.clone();
  let callers_server = tokio::spawn(connections::serve(
    callers,
    move |request| callers::handle(state.clone(), request),
    close.clone(),
  ));
  log::info!(target: PREFIX, "Serving callers on {}.", host.settings.callers);
  tokio::select! {
    () = stop => {}
    () = listed_as_leaving(&host) => {}
  }
  drain(&host, close).await;
  // The server returns once each connection has sent its last response.
  let _ = callers_server.await;
  log::info!(target: PREFIX, "Stopped.");
}

/// Announces that the host is leaving, accepts new jobs until the notice period ends, waits for the
/// jobs in flight to end, then cancels `close`.
async fn drain(host: &Host, close: CancellationToken) {
  let operator_settings = host.tree().map(|tree| tree.operator_settings()).unwrap_or_default();
  let plan = Plan::new(host.clock.now(), &operator_settings);
  host.drain.start(plan);
  log::info!(target: PREFIX, "This host is leaving; new jobs are accepted for another {:?}.", plan.notice_period);
  if host.tree().is_err() {
    close.cancel();
    return;
  }
  peer::announce(host, Notice::Leaving).await;
  time::sleep_until((plan.started_at + plan.notice_period).into()).await;
  log::info!(target: PREFIX, "This host accepts no new jobs; {} jobs are in flight.", host.limiter.total());
  while host.limiter.total() > 0 {
    time::sleep(DRAIN_POLL_INTERVAL).await;
  }
  // A response that is still being sent to another host no longer counts as a job.
  host.forwarded_calls.close();
  host.forwarded_calls.wait().await;
  close.cancel();
}

/// Updates the targets whenever the published settings change.
async fn reconcile_targets(host: Host) {
  let mut view = host.view.subscribe();
  loop {
    let tree = view.borrow_and_update().tree();
    if let Some(tree) = tree {
      host.targets.lock().reconcile(&tree);
    }
    // Locking the ownership records the current host list; each list must be recorded
    // as soon as it is in force.
    drop(host.ownership());
    if view.changed().await.is_err() {
      return;
    }
  }
}

/// Fetches the views of the other hosts, then announces that this host serves.
async fn join_peers(host: Host) {
  gossip::join(&host).await;
  peer::announce(&host, Notice::Serving).await;
}

/// Waits until the host list marks this host as leaving.
async fn listed_as_leaving(host: &Host) {
  let mut view = host.view.subscribe();
  let own_address = host.settings.callers;
  let listed = view.wait_for(|view| {
    let hosts = view.hosts.accepted.as_ref();
    let entry = hosts.and_then(|accepted| accepted.document.find(own_address));
    entry.is_some_and(|entry| entry.state == HostState::Leaving)
  });
  // Cannot fail: the sender lives as long as the host.
  let _ = listed.await;
}
