use {
  super::{Call, Error, GuardedStream, SendGuard},
  crate::{
    clock::Clock,
    cold::Report,
    http::{self, Body},
    refusal::Refusal,
    socket,
  },
  hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{HOST, HeaderValue},
  },
  hyper_util::rt::TokioIo,
  std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tokio::{net::TcpStream, time},
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const LOAD_PATH: &str = "/v1/load";
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Size of the read buffer of a connection, and so the largest head of a response.
const MAX_HEADER_BYTES: usize = 64 << 10;
const MAX_REPORT_BYTES: u64 = 64 << 10;
/// How long a report that the target is warm stays valid.
const WARM_REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// An open connection to a target.
struct Connection {
  send_guard: SendGuard,
  idle_since: Instant,
  sender: SendRequest<Body>,
  /// When the target was last probed on this connection and reported that it is warm, which
  /// means past its cold start.
  warm_at: Option<Instant>,
}

type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>;

/// An HTTP client that reuses idle connections; clones share them.
#[derive(Clone)]
pub struct Pool {
  clock: Clock,
  idle: IdleConnections,
}

impl Pool {
  async fn connect(&self, address: SocketAddr, timeout: Duration) -> Result<Connection, String> {
    let stream = time::timeout(timeout, TcpStream::connect(address))
      .await
      .map_err(|_| "the connection timed out".to_owned())?
      .map_err(|error| error.to_string())?;
    socket::configure(&stream).map_err(|error| error.to_string())?;
    let send_guard = SendGuard::default();
    let io = TokioIo::new(GuardedStream::new(stream, send_guard.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_HEADER_BYTES).handshake(io);
    let (sender, driver) = handshake.await.map_err(|error| error.to_string())?;
    tokio::spawn(driver);
    Ok(Connection {
      send_guard,
      idle_since: self.clock.now(),
      sender,
      warm_at: None,
    })
  }

  /// Returns whether the target reported on this connection a short time ago that it is warm.
  ///
  /// A restart of the target closes its connections, but a target may also become cold
  /// while it runs, so an older report is no longer valid.
  fn is_warm(&self, connection: &Connection) -> bool {
    let now = self.clock.now();
    connection
      .warm_at
      .is_some_and(|at| now.saturating_duration_since(at) < WARM_REPORT_LIFETIME)
  }

  /// Returns whether a connection to an address is accepted or refused; `None` when neither
  /// happens within `timeout`.
  pub async fn is_listening(&self, address: SocketAddr, timeout: Duration) -> Option<bool> {
    match time::timeout(timeout, TcpStream::connect(address)).await {
      Ok(Ok(_)) => Some(true),
      Ok(Err(error)) => match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Some(false),
        _ => None,
      },
      Err(_) => None,
    }
  }

  /// Creates an empty pool.
  pub fn new(clock: Clock) -> Self {
    Self {
      clock,
      idle: IdleConnections::default(),
    }
  }

  /// Drops closed and expired idle connections to an address, and takes one of the others.
  fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
    let now = self.clock.now();
    let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
    let connections = idle.get_mut(&address)?;
    connections.retain(|connection| {
      !connection.sender.is_closed()
        && now.saturating_duration_since(connection.idle_since) < IDLE_TIMEOUT
    });
    connections.pop()
  }

  /// Sends a request and returns the response head, with the body as a stream.
  ///
  /// # Errors
  ///
  /// Fails when no response head arrives, or one whose status is none of a final response; the error
  /// indicates whether bytes of the request may have reached the target.
  pub async fn send(&self, call: Call) -> Result<Response<Incoming>, Error> {
    let reused = if call.new_connection {
      None
    } else {
      self.take_idle(call.address)
    };
    let mut connection = match reused {
      Some(connection) => connection,
      None => match self.connect(call.address, call.connect_timeout).await {
        Ok(connection) => connection,
        Err(cause) => return Err(Error::not_sent(cause, call.request)),
      },
    };
    let is_warm = self.is_warm(&connection);
    if let Some(admission) = call.admission.filter(|_| !is_warm) {
      let probed_at = self.clock.now();
      let probe_result =
        time::timeout(call.connect_timeout, probe(&mut connection, call.address)).await;
      match probe_result.ok().flatten() {
        Some(report) if report.cold => admission(report).await.map_err(denied)?,
        Some(_) => connection.warm_at = Some(probed_at),
        None => {
          return Err(Error::not_sent(
            "the target sent no load report",
            call.request,
          ));
        }
      }
    }
    connection.send_guard.arm(call.send_check, call.max_body_bytes);
    let request = with_host_header(call.request, call.address);
    let response = connection.sender.try_send_request(request).await;
    let send_guard = connection.send_guard.clone();
    match response {
      Ok(response) => {
        send_guard.record_head();
        if !is_final(response.status()) {
          return Err(Error::Sent(format!(
            "{} is no status of a final response",
            response.status().as_u16()
          )));
        }
        if call.reusable {
          self.return_idle(call.address, connection);
        }
        Ok(response)
      }
      Err(mut error) => {
        if let Some(refusal) = send_guard.take_refusal() {
          return Err(Error::Denied(Box::new(refusal)));
        }
        let request = error.take_message().map(Box::new);
        let cause = error.into_error().to_string();
        if send_guard.may_have_sent() {
          return Err(Error::Sent(cause));
        }
        Err(Error::NotSent { cause, request })
      }
    }
  }

  /// Returns a connection to the pool once it can send another request.
  fn return_idle(&self, address: SocketAddr, mut connection: Connection) {
    let clock = self.clock.clone();
    let idle = Arc::clone(&self.idle);
    tokio::spawn(async move {
      if connection.sender.ready().await.is_err() {
        return;
      }
      connection.idle_since = clock.now();
      let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
      let connections = idle.entry(address).or_default();
      if connections.len() < MAX_IDLE_PER_ADDRESS {
        connections.push(connection);
      }
    });
  }
}

/// Returns whether a status is of one of the classes of final responses (RFC 9110, section 15).
fn is_final(status: StatusCode) -> bool {
  (200..600).contains(&status.as_u16())
}

fn denied(refusal: Refusal) -> Error {
  Error::Denied(Box::new(refusal))
}

/// Fetches the load report of a target; returns `None` when it is missing or invalid.
async fn probe(connection: &mut Connection, address: SocketAddr) -> Option<Report> {
  connection.send_guard.arm(Box::new(|| Ok(())), Some(MAX_REPORT_BYTES));
  let request = Request::get(LOAD_PATH).body(http::empty()).ok()?;
  let response = connection.sender.send_request(with_host_header(request, address)).await.ok()?;
  connection.send_guard.record_head();
  let body = http::collect(response.into_body(), MAX_REPORT_BYTES).await?;
  connection.sender.ready().await.ok()?;
  serde_json::from_slice(&body).ok()
}

fn with_host_header(mut request: Request<Body>, address: SocketAddr) -> Request<Body> {
  let host =
    HeaderValue::from_str(&address.to_string()).expect("an address is a valid header value");
  request.headers_mut().entry(HOST).or_insert(host);
  request
}
