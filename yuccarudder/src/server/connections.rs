use {
  super::{connection::Connection, unmarked::Unmarked},
  crate::{http::Body, socket},
  hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
  },
  std::{convert::Infallible, sync::Arc, time::Duration},
  tokio::{net::TcpListener, sync::Semaphore, time},
  tokio_util::sync::CancellationToken,
};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_CONNECTIONS: usize = 16_384;
const MAX_HEADER_BYTES: usize = 64 << 10;
const PREFIX: &str = "server";

/// Serves HTTP until `stop` is cancelled, then waits for the open connections to finish.
pub async fn serve<H, F>(listener: TcpListener, handle: H, stop: CancellationToken)
where
  H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
  F: Future<Output = Response<Body>> + Send + 'static,
{
  let graceful = GracefulShutdown::new();
  let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
  loop {
    let accepted = async {
      let permit = Arc::clone(&permits).acquire_owned().await;
      (listener.accept().await, permit)
    };
    let (stream, permit) = tokio::select! {
      () = stop.cancelled() => break,
      (accepted, permit) = accepted => match accepted {
        Ok((stream, _)) => (stream, permit),
        Err(error) => {
          log::warn!(target: PREFIX, "Cannot accept an HTTP connection: {error}.");
          time::sleep(ACCEPT_RETRY_DELAY).await;
          continue;
        }
      },
    };
    if let Err(error) = socket::configure(&stream) {
      log::debug!(target: PREFIX, "Cannot configure a connection: {error}.");
      continue;
    }
    let handle = handle.clone();
    let unmarked = Unmarked::default();
    let connection = Connection::new(stream, unmarked.clone());
    let service = service_fn(move |request| {
      let unmarked = Unmarked::applies_to(&request).then(|| unmarked.clone());
      let response = handle(request);
      async move {
        let response = response.await;
        Ok::<_, Infallible>(match unmarked {
          Some(unmarked) => unmarked.watch(response),
          None => response,
        })
      }
    });
    let connection = http1::Builder::new()
      .timer(TokioTimer::new())
      .header_read_timeout(HEADER_TIMEOUT)
      .max_buf_size(MAX_HEADER_BYTES)
      .serve_connection(TokioIo::new(connection), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
      let _permit = permit;
      if let Err(error) = connection.await {
        log::debug!(target: PREFIX, "An HTTP connection failed: {error}.");
      }
    });
  }
  drop(listener);
  graceful.shutdown().await;
}
