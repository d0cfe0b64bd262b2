use {
  super::{Call, Error, Gate, Gated},
  crate::{
    clock::Clock,
    cold::Report,
    http::{self, Body},
    refusal::Refusal,
    socket,
  },
  hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{HOST, HeaderValue},
  },
  hyper_util::rt::TokioIo,
  std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tokio::{net::TcpStream, time},
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const LOAD_PATH: &str = "/v1/load";
const MAX_IDLE_PER_ADDRESS: usize = 32;
const MAX_REPORT_BYTES: u64 = 64 << 10;
const WARM_LIFE: Duration = Duration::from_secs(1);

struct Connection {
  gate: Gate,
  idle_since: Instant,
  sender: SendRequest<Body>,
  /// When the target last said on this connection that it is past its cold start.
  warm: Option<Instant>,
}

type Idle = Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>;

/// Connections to targets, kept for reuse while they are idle.
#[derive(Clone)]
pub struct Pool {
  clock: Clock,
  idle: Idle,
}

impl Pool {
  async fn connect(&self, address: SocketAddr, timeout: Duration) -> Result<Connection, String> {
    let stream = time::timeout(timeout, TcpStream::connect(address))
      .await
      .map_err(|_| "the connection timed out".to_owned())?
      .map_err(|error| error.to_string())?;
    socket::configure(&stream).map_err(|error| error.to_string())?;
    let gate = Gate::default();
    let io = TokioIo::new(Gated::new(stream, gate.clone()));
    let (sender, driver) = http1::handshake(io).await.map_err(|error| error.to_string())?;
    tokio::spawn(driver);
    Ok(Connection {
      gate,
      idle_since: self.clock.now(),
      sender,
      warm: None,
    })
  }

  /// A process that restarts loses its connections, but one that turns cold while
  /// it runs does not, so what it said is asked again from time to time.
  fn is_warm(&self, connection: &Connection) -> bool {
    let now = self.clock.now();
    connection.warm.is_some_and(|at| now.saturating_duration_since(at) < WARM_LIFE)
  }

  /// Builds an empty pool.
  pub fn new(clock: Clock) -> Self {
    Self {
      clock,
      idle: Idle::default(),
    }
  }

  fn reuse(&self, address: SocketAddr) -> Option<Connection> {
    let now = self.clock.now();
    let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
    let connections = idle.get_mut(&address)?;
    connections.retain(|connection| {
      !connection.sender.is_closed()
        && now.saturating_duration_since(connection.idle_since) < IDLE_TIMEOUT
    });
    connections.pop()
  }

  /// Sends a request and returns the response head with its body still to come.
  ///
  /// # Errors
  ///
  /// Tells whether a byte may have reached the target.
  pub async fn send(&self, call: Call) -> Result<Response<Incoming>, Error> {
    let reused = if call.fresh {
      None
    } else {
      self.reuse(call.address)
    };
    let mut connection = match reused {
      Some(connection) => connection,
      None => match self.connect(call.address, call.connect_timeout).await {
        Ok(connection) => connection,
        Err(cause) => return Err(Error::not_sent(cause, call.request)),
      },
    };
    let warm = self.is_warm(&connection);
    if let Some(admission) = call.admission.filter(|_| !warm) {
      let asked = self.clock.now();
      let probed = time::timeout(call.connect_timeout, probe(&mut connection, call.address)).await;
      match probed.ok().flatten() {
        Some(report) if report.cold => admission(report).await.map_err(denied)?,
        Some(_) => connection.warm = Some(asked),
        None => return Err(Error::not_sent("the target sent no report", call.request)),
      }
    }
    connection.gate.arm(call.permit);
    let request = with_host(call.request, call.address);
    let response = connection.sender.try_send_request(request).await;
    let gate = connection.gate.clone();
    match response {
      Ok(response) => {
        if call.keep {
          self.keep(call.address, connection);
        }
        Ok(response)
      }
      Err(mut error) => {
        if let Some(refusal) = gate.denied() {
          return Err(Error::Denied(Box::new(refusal)));
        }
        let request = error.take_message().map(Box::new);
        let cause = error.into_error().to_string();
        if gate.touched() {
          return Err(Error::Sent(cause));
        }
        Err(Error::NotSent { cause, request })
      }
    }
  }

  fn keep(&self, address: SocketAddr, mut connection: Connection) {
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

fn denied(refusal: Refusal) -> Error {
  Error::Denied(Box::new(refusal))
}

/// Asks a target on a connection whether it is in its cold start.
async fn probe(connection: &mut Connection, address: SocketAddr) -> Option<Report> {
  connection.gate.arm(Box::new(|| Ok(())));
  let request = Request::get(LOAD_PATH).body(http::empty()).ok()?;
  let response = connection.sender.send_request(with_host(request, address)).await.ok()?;
  let body = http::collect(response.into_body(), MAX_REPORT_BYTES).await?;
  connection.sender.ready().await.ok()?;
  serde_json::from_slice(&body).ok()
}

fn with_host(mut request: Request<Body>, address: SocketAddr) -> Request<Body> {
  let host = HeaderValue::from_str(&address.to_string()).expect("an address is a header value");
  request.headers_mut().entry(HOST).or_insert(host);
  request
}
