use {
  super::{
    connection::Connection,
    occupancy::{CONNECTION_BYTES, Occupancy},
    unmarked::Unmarked,
  },
  crate::{
    http::{self, Body},
    limit::Memory,
    socket,
  },
  hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
  },
  prometheus::IntCounter,
  std::{convert::Infallible, future, pin::Pin, sync::Arc, task::Poll, time::Duration},
  tokio::{net::TcpListener, time},
  tokio_util::sync::CancellationToken,
};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections without a request of a host whose memory is not known.
const MAX_CONNECTIONS: u64 = 16_384;
const MAX_HEADER_BYTES: usize = 64 << 10;
const PREFIX: &str = "server";

/// The bound of the connections of a port.
#[derive(Clone, Debug)]
pub struct Bound {
  /// Counts the connections that were closed as others needed their memory.
  pub closed: IntCounter,
  /// The memory for connections and for the heads of requests.
  pub memory: Memory,
}

impl Default for Bound {
  fn default() -> Self {
    Self {
      closed: IntCounter::new("closed", "Connections closed").expect("the name is valid"),
      memory: Memory::new(MAX_CONNECTIONS * CONNECTION_BYTES),
    }
  }
}

/// Serves HTTP until `stop` is cancelled, then waits for the open connections to finish.
pub async fn serve<H, F>(listener: TcpListener, handle: H, stop: CancellationToken)
where
  H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
  F: Future<Output = Response<Body>> + Send + 'static,
{
  serve_within(listener, handle, stop, Bound::default()).await;
}

/// Does the same within a bound: the connections that have been without progress for longest are closed for
/// new ones, unless a request is in progress there.
pub async fn serve_within<H, F>(
  listener: TcpListener,
  handle: H,
  stop: CancellationToken,
  bound: Bound,
) where
  H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
  F: Future<Output = Response<Body>> + Send + 'static,
{
  let graceful = GracefulShutdown::new();
  loop {
    let stream = tokio::select! {
      () = stop.cancelled() => break,
      accepted = listener.accept() => match accepted {
        Ok((stream, _)) => stream,
        Err(error) => {
          log::warn!(target: PREFIX, "Cannot accept an HTTP connection: {error}.");
          time::sleep(ACCEPT_RETRY_DELAY).await;
          continue;
        }
      },
    };
    let Ok(reservation) = bound.memory.reserve_evictable(CONNECTION_BYTES) else {
      bound.closed.inc();
      continue;
    };
    if let Err(error) = socket::configure(&stream) {
      log::debug!(target: PREFIX, "Cannot configure a connection: {error}.");
      continue;
    }
    let handle = handle.clone();
    let unmarked = Unmarked::default();
    let occupancy = Arc::new(Occupancy::new(reservation));
    let connection =
      Connection::new(stream, unmarked.clone()).with_occupancy(Arc::clone(&occupancy));
    let mut departure = connection.departure();
    let occupant = Arc::clone(&occupancy);
    let service = service_fn(move |request| {
      let unmarked = Unmarked::applies_to(&request).then(|| unmarked.clone());
      occupant.begin_request();
      let ending = Ending(Arc::clone(&occupant));
      let response = handle(request);
      let response = async move {
        let response = response.await.map(|body| http::keeping(body, ending));
        Ok::<_, Infallible>(match unmarked {
          Some(unmarked) => unmarked.watch(response),
          None => response,
        })
      };
      // A connection has room for the future also while it has no request.
      Box::pin(response) as Pin<Box<dyn Future<Output = _> + Send>>
    });
    let connection = http1::Builder::new()
      .timer(TokioTimer::new())
      .header_read_timeout(HEADER_TIMEOUT)
      .max_buf_size(MAX_HEADER_BYTES)
      .serve_connection(TokioIo::new(connection), service);
    let connection = graceful.watch(connection);
    let closed = bound.closed.clone();
    tokio::spawn(async move {
      tokio::select! {
        biased;
        () = occupancy.evicted() => closed.inc(),
        result = connection => if let Err(error) = result {
          log::debug!(target: PREFIX, "An HTTP connection failed: {error}.");
        },
        () = future::poll_fn(|cx| match occupancy.has_request() {
          true => departure.poll(cx),
          // The server reads the connection itself.
          false => Poll::Pending,
        }) => log::debug!(target: PREFIX, "A caller left during its request."),
      }
    });
  }
  drop(listener);
  graceful.shutdown().await;
}

/// Ends the request of a connection when it is dropped with the body of the response.
struct Ending(Arc<Occupancy>);

impl Drop for Ending {
  fn drop(&mut self) {
    self.0.end_request();
  }
}
