use {
  super::{Gateway, engine_polling, heartbeats, ingress, reachability, scrape, supervision},
  crate::{
    http::Body,
    limit::Memory,
    member,
    reader::{self, Area, Store},
    server::connections::{self, Bound},
  },
  anyhow::Context,
  hyper::{Request, Response, body::Incoming},
  std::{net::SocketAddr, pin::Pin, sync::Arc, time::Duration},
  tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time::{self, Instant},
  },
  tokio_util::sync::CancellationToken,
};

/// Minimum time after the start of a shutdown during which callers can still connect, unless the
/// grace period ends earlier. Callers cache the responses of the directory for a few seconds.
const LATE_CALLER_PERIOD: Duration = Duration::from_millis(6500);
/// Time before the end of the grace period at which the process ends even with open requests.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Time before the process ends at which requests without an answer get their last one.
const LAST_ANSWER_PERIOD: Duration = Duration::from_millis(100);
/// Minimum time before the last answers in which a late process passes on responses that have arrived.
const ARRIVED_RESPONSE_PERIOD: Duration = Duration::from_millis(50);
/// Time by which a late process may end later, while requests still have no answer.
const LATENESS: Duration = Duration::from_millis(150);
/// Share of the host's memory for connections of callers and the heads of their requests.
const CONNECTION_MEMORY_SHARE: f64 = 0.5;
/// Share of the host's memory for the connections to all other ports.
const SIDE_MEMORY_SHARE: f64 = 0.0625;
const PREFIX: &str = "serve";

/// Request handler of an endpoint that the platform defines.
pub type Handler = Arc<
  dyn Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> + Send + Sync,
>;

/// A host whose listen addresses are bound.
#[derive(Debug)]
pub struct Server {
  callers: TcpListener,
  directory: TcpListener,
  gateway: Gateway,
  metrics: Option<TcpListener>,
  peers: TcpListener,
  heartbeats: UdpSocket,
  readiness: TcpListener,
}

impl Server {
  /// Binds the listen addresses of a host.
  ///
  /// # Errors
  ///
  /// Fails when an address cannot be bound.
  pub async fn bind(gateway: Gateway) -> anyhow::Result<Self> {
    let settings = gateway.settings();
    let metrics = match settings.metrics {
      Some(address) => Some(bind("metrics", address).await?),
      None => None,
    };
    let peers = settings.peers;
    Ok(Self {
      callers: bind("callers", settings.callers).await?,
      directory: bind("directory", settings.directory).await?,
      metrics,
      peers: bind("peers", peers).await?,
      heartbeats: UdpSocket::bind(peers).await.with_context(|| {
        format!("cannot listen on `peers` {peers} over UDP; is the port in use?")
      })?,
      readiness: bind("readiness", settings.readiness).await?,
      gateway,
    })
  }
}

async fn bind(key: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
  TcpListener::bind(address).await.with_context(|| {
    format!(
      "cannot listen on `{key}` {address}; is it an address of this host, and is the port in use?"
    )
  })
}

/// Serves until `stop` resolves, then shuts down gracefully.
///
/// `directory` and `readiness` handle requests at the addresses of the same names.
pub async fn run(
  server: Server,
  store: Store,
  directory: Handler,
  readiness: Handler,
  stop: impl Future<Output = ()>,
) {
  let gateway = server.gateway;
  let never_cancelled = CancellationToken::new();
  let mut tasks = JoinSet::new();
  let panics = |task| gateway.instruments.task_panics.with_label_values(&[task]);
  for area in [Area::Operator, Area::Targets] {
    let (gateway, store) = (gateway.clone(), store.clone());
    let read = move || reader::run(gateway.clone(), store.clone(), area);
    tasks.spawn(supervision::run(area.name(), panics(area.name()), read));
  }
  let polling = gateway.clone();
  let poll = move || engine_polling::run(polling.clone());
  tasks.spawn(supervision::run("polling", panics("polling"), poll));
  let probing = gateway.clone();
  let probe = move || reachability::run(probing.clone());
  tasks.spawn(supervision::run("links", panics("links"), probe));
  let (heartbeating, socket) = (gateway.clone(), Arc::new(server.heartbeats));
  let exchange = move || heartbeats::run(heartbeating.clone(), Arc::clone(&socket));
  tasks.spawn(supervision::run(
    "heartbeats",
    panics("heartbeats"),
    exchange,
  ));
  let memory_bytes = gateway.settings().memory_bytes as f64;
  let bound = |port, memory: &Memory| Bound {
    closed: gateway.metrics.closed_connections.with_label_values(&[port]),
    memory: memory.clone(),
  };
  let side_memory = Memory::new((memory_bytes * SIDE_MEMORY_SHARE) as u64);
  tasks.spawn(member::serve_calls_within(
    server.peers,
    handlers(&gateway),
    side_memory.clone(),
  ));
  tasks.spawn(connections::serve_within(
    server.directory,
    move |request| directory(request),
    never_cancelled.clone(),
    bound("directory", &side_memory),
  ));
  tasks.spawn(connections::serve_within(
    server.readiness,
    move |request| readiness(request),
    never_cancelled.clone(),
    bound("readiness", &side_memory),
  ));
  if let Some(listener) = server.metrics {
    let gateway = gateway.clone();
    let handler = move |request| scrape::handle(gateway.clone(), request);
    tasks.spawn(connections::serve_within(
      listener,
      handler,
      never_cancelled.clone(),
      bound("metrics", &side_memory),
    ));
  }
  let stop_accepting = CancellationToken::new();
  let ingress_gateway = gateway.clone();
  let connection_memory = Memory::new((memory_bytes * CONNECTION_MEMORY_SHARE) as u64);
  let serving = tokio::spawn(connections::serve_within(
    server.callers,
    move |request| ingress::handle(ingress_gateway.clone(), request),
    stop_accepting.clone(),
    bound("callers", &connection_memory),
  ));
  let settings = gateway.settings();
  log::info!(target: PREFIX, host = settings.name.as_str(), callers:% = settings.callers; "Started.");
  stop.await;
  drain(&gateway, stop_accepting, serving).await;
  log::info!(target: PREFIX, host = settings.name.as_str(); "Stopped.");
}

/// Announces the shutdown, waits until the requests have finished, and closes the connections.
async fn drain(
  gateway: &Gateway,
  stop_accepting: CancellationToken,
  mut serving: tokio::task::JoinHandle<()>,
) {
  let started_at = Instant::now();
  let deadline =
    started_at + gateway.settings().guarantees.termination_grace.saturating_sub(GRACE_MARGIN);
  log::info!(target: PREFIX, in_hand = gateway.in_hand.len(); "Shutting down; the directory no longer lists this host.");
  gateway.begin_shutdown(deadline.into_std());
  gateway.in_hand.close();
  let closing_at = deadline - LAST_ANSWER_PERIOD;
  time::sleep_until(closing_at.min(started_at + LATE_CALLER_PERIOD)).await;
  let _ = time::timeout_at(closing_at, gateway.in_hand.wait()).await;
  log::info!(target: PREFIX, in_hand = gateway.in_hand.len(); "Closing.");
  stop_accepting.cancel();
  // Connections close after their last response. A late process may find all of these times passed, and
  // must still give its other tasks time for the answers.
  let closing_at = closing_at.max(Instant::now() + ARRIVED_RESPONSE_PERIOD);
  if time::timeout_at(closing_at, &mut serving).await.is_ok() {
    return;
  }
  gateway.closing.cancel();
  let _ = time::timeout_at(deadline, serving).await;
  let end = (deadline + LATENESS).max(Instant::now() + LAST_ANSWER_PERIOD);
  let _ = time::timeout_at(end, gateway.in_hand.wait()).await;
  if !gateway.in_hand.is_empty() {
    log::warn!(target: PREFIX, in_hand = gateway.in_hand.len(); "Ending without the answers to some requests.");
  }
}

/// Returns the functions that answer the calls of other hosts.
fn handlers(gateway: &Gateway) -> Arc<member::Handlers> {
  let (catalog_gateway, target_gateway) = (gateway.clone(), gateway.clone());
  Arc::new(member::Handlers {
    catalog: Box::new(move |above| catalog_gateway.compressed_catalog_above(above)),
    is_listening: Box::new(move |target| Box::pin(target_gateway.clone().check_listening(target))),
  })
}
