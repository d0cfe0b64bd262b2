use {
  super::{Gateway, front, inspection, probes, pulses},
  crate::{
    http::Body,
    member,
    reader::{self, Area, Store},
    server::connections,
  },
  anyhow::Context,
  bytes::Bytes,
  hyper::{Request, Response, body::Incoming},
  std::{net::SocketAddr, pin::Pin, sync::Arc, time::Duration},
  tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time::{self, Instant},
  },
  tokio_util::sync::CancellationToken,
};

/// How long callers may go on to come after the host has announced that it leaves: they
/// keep the directory's answers for a few seconds.
const LATE_CALLERS: Duration = Duration::from_millis(6500);
/// Time before the end of the grace period at which the process ends in any case.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
const IDLE_POLL: Duration = Duration::from_millis(50);
const PREFIX: &str = "serve";

/// Answers requests at one of the platform's own addresses.
pub type Handler = Arc<
  dyn Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> + Send + Sync,
>;

/// A host whose addresses are bound.
#[derive(Debug)]
pub struct Server {
  callers: TcpListener,
  directory: TcpListener,
  gateway: Gateway,
  metrics: Option<TcpListener>,
  peers: TcpListener,
  pulses: UdpSocket,
  readiness: TcpListener,
}

impl Server {
  /// Binds the addresses of a host.
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
      pulses: UdpSocket::bind(peers)
        .await
        .with_context(|| format!("cannot listen on `peers` {peers} over UDP; is it free?"))?,
      readiness: bind("readiness", settings.readiness).await?,
      gateway,
    })
  }
}

async fn bind(key: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
  TcpListener::bind(address)
    .await
    .with_context(|| format!("cannot listen on `{key}` {address}; is it this host's and free?"))
}

/// Serves until `stop` resolves, then stops gracefully.
///
/// `directory` and `readiness` answer at the addresses of those names.
pub async fn run(
  server: Server,
  store: Store,
  directory: Handler,
  readiness: Handler,
  stop: impl Future<Output = ()>,
) {
  let gateway = server.gateway;
  let never = CancellationToken::new();
  let mut tasks = JoinSet::new();
  for area in [Area::Operator, Area::Targets] {
    tasks.spawn(reader::run(gateway.clone(), store.clone(), area));
  }
  tasks.spawn(inspection::run(gateway.clone()));
  tasks.spawn(pulses::run(gateway.clone(), server.pulses));
  tasks.spawn(member::serve_catalog(server.peers, catalogs(&gateway)));
  tasks.spawn(connections::serve(
    server.directory,
    move |request| directory(request),
    never.clone(),
  ));
  tasks.spawn(connections::serve(
    server.readiness,
    move |request| readiness(request),
    never.clone(),
  ));
  if let Some(listener) = server.metrics {
    let gateway = gateway.clone();
    let answer = move |request| probes::metrics(gateway.clone(), request);
    tasks.spawn(connections::serve(listener, answer, never.clone()));
  }
  let closed = CancellationToken::new();
  let state = gateway.clone();
  let serving = tokio::spawn(connections::serve(
    server.callers,
    move |request| front::handle(state.clone(), request),
    closed.clone(),
  ));
  let settings = gateway.settings();
  log::info!(target: PREFIX, host = settings.name.as_str(), callers:% = settings.callers; "Started.");
  stop.await;
  drain(&gateway, closed, serving).await;
  log::info!(target: PREFIX, host = settings.name.as_str(); "Stopped.");
}

async fn drain(gateway: &Gateway, closed: CancellationToken, serving: tokio::task::JoinHandle<()>) {
  let begun = Instant::now();
  let end = begun + gateway.settings().promises.grace.saturating_sub(GRACE_MARGIN);
  log::info!(target: PREFIX, in_hand = gateway.places.lock().len(); "Leaving; callers are sent elsewhere.");
  gateway.leave(end.into_std());
  time::sleep_until(end.min(begun + LATE_CALLERS)).await;
  while !gateway.places.lock().is_empty() && Instant::now() < end {
    time::sleep(IDLE_POLL).await;
  }
  log::info!(target: PREFIX, in_hand = gateway.places.lock().len(); "Closing.");
  closed.cancel();
  // Connections end once their last answer is out; what is left then is cut.
  let _ = time::timeout_at(end, serving).await;
}

fn catalogs(gateway: &Gateway) -> Arc<dyn Fn(u64) -> Bytes + Send + Sync> {
  let gateway = gateway.clone();
  Arc::new(move |above| gateway.packed_catalog(above))
}
