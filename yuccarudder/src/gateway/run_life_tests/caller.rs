use {
  super::{fleet::Fleet, host::Addresses, log::Request, target},
  crate::{
    clock::Clock,
    http,
    upstream::{self, Pool},
  },
  http_body_util::BodyExt,
  hyper::{Response, StatusCode, body::Incoming},
  std::{sync::Arc, time::Duration},
  tokio::{
    task::JoinHandle,
    time::{self, Instant},
  },
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests that a caller sends for one answer that may be resumed.
const MAX_REQUESTS: usize = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which callers wait.
pub const TIMEOUT: Duration = Duration::from_secs(12);

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
  /// A stream that may go on with another run.
  Resumable,
  /// A stream that runs once at most.
  Unrepeatable,
  /// A plain request that runs once at most.
  Booking,
  /// A plain request that may be repeated.
  Lookup,
}

impl Kind {
  /// Returns the prefix of its path.
  pub fn prefix(self) -> &'static str {
    match self {
      Self::Resumable => "/resumable/",
      Self::Unrepeatable => "/unrepeatable/",
      Self::Booking => "/booking/",
      Self::Lookup => "/lookup/",
    }
  }

  pub fn is_repeatable(self) -> bool {
    matches!(self, Self::Resumable | Self::Lookup)
  }

  pub fn is_stream(self) -> bool {
    matches!(self, Self::Resumable | Self::Unrepeatable)
  }
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Order {
  pub host: usize,
  pub is_framed: bool,
  pub key: String,
  pub kind: Kind,
  pub pieces: u64,
}

/// A caller that waits for an answer.
pub struct Caller {
  fleet: Arc<Fleet>,
  key: String,
  task: JoinHandle<()>,
}

impl Caller {
  pub fn start(order: Order, fleet: &Arc<Fleet>, hosts: Addresses) -> Self {
    let key = order.key.clone();
    let waiting = Waiting {
      fleet: Arc::clone(fleet),
      hosts,
      last: 0,
      order,
      pool: Pool::new(Clock::system()),
    };
    Self {
      fleet: Arc::clone(fleet),
      key,
      task: tokio::spawn(waiting.run()),
    }
  }

  pub fn is_waiting(&self) -> bool {
    !self.task.is_finished()
  }

  /// Returns whether a request is one of this caller's.
  pub fn has_sent(&self, request: &str) -> bool {
    request.split_once('.').is_some_and(|(key, _)| key == self.key)
  }

  /// Lets the caller go away.
  pub fn leave(&self) {
    if !self.is_waiting() {
      return;
    }
    self.task.abort();
    let now = Instant::now();
    for (id, request) in &mut self.fleet.log().requests {
      if self.has_sent(id) && request.left_at.is_none() {
        request.left_at = Some(now);
      }
    }
  }
}

/// The state of a caller.
struct Waiting {
  fleet: Arc<Fleet>,
  hosts: Addresses,
  /// Number of the last piece that it has.
  last: u64,
  order: Order,
  pool: Pool,
}

impl Waiting {
  async fn run(mut self) {
    let deadline = Instant::now() + TIMEOUT;
    let mut began = None;
    for attempt in 0..MAX_REQUESTS {
      let id = format!("{}.{attempt}", self.order.key);
      let response = self.send(&id, attempt, began.as_deref(), deadline).await;
      if let Some(response) = response {
        if self.receive(&id, response).await {
          return;
        }
        if self.last > 0 {
          began = began.or(Some(id));
        }
      }
      if self.order.kind != Kind::Resumable {
        return;
      }
      time::sleep(RETRY_PAUSE).await;
    }
  }

  async fn send(
    &self,
    id: &str,
    attempt: usize,
    began: Option<&str>,
    deadline: Instant,
  ) -> Option<Response<Incoming>> {
    let order = &self.order;
    let hosts = self.hosts.lock().unwrap().clone();
    let (host, address) = *hosts.get((order.host + attempt) % hosts.len().max(1))?;
    let path = format!("{}{}", order.kind.prefix(), order.key);
    let timeout = deadline.saturating_duration_since(Instant::now());
    let mut request = hyper::Request::get(path)
      .header("host", "model")
      .header("request", id)
      .header("key", &order.key)
      .header("pieces", order.pieces)
      .header("framed", order.is_framed.to_string())
      .header("timeout", timeout.as_millis() as u64);
    if let Some(began) = began {
      request = request.header("last-event-id", self.last).header("resumes", began);
    }
    let sent = Request {
      host,
      kind: order.kind,
      left_at: None,
      status: None,
    };
    self.fleet.log().requests.insert(id.to_owned(), sent);
    let request = request.body(http::empty()).unwrap();
    let call = upstream::Call::new(address, CONNECT_TIMEOUT, request).on_dedicated_connection();
    let response = self.pool.send(call).await.ok()?;
    let mut log = self.fleet.log();
    log.requests.get_mut(id).unwrap().status = Some(response.status().as_u16());
    Some(response)
  }

  /// Receives an answer; returns whether it ended as whole.
  async fn receive(&mut self, id: &str, response: Response<Incoming>) -> bool {
    if response.status() != StatusCode::OK {
      return false;
    }
    let mut body = response.into_body();
    let length = target::piece(&self.order.key, 0).len();
    let mut text = String::new();
    loop {
      match body.frame().await {
        Some(Ok(frame)) => {
          let bytes = frame.into_data().unwrap_or_default();
          text.push_str(std::str::from_utf8(&bytes).unwrap());
          while text.len() >= length {
            let rest = text.split_off(length);
            self.receive_piece(id, &text);
            text = rest;
          }
        }
        Some(Err(_)) => return false,
        None => break,
      }
    }
    if !text.is_empty() || self.last != self.order.pieces {
      self.report(
        id,
        &format!("ends as whole after {} of {}", self.last, self.order.pieces),
      );
    }
    self.fleet.log().whole_answers += 1;
    true
  }

  fn receive_piece(&mut self, id: &str, text: &str) {
    self.last += 1;
    if text != target::piece(&self.order.key, self.last) {
      self.report(id, &format!("has {text:?} as piece {}", self.last));
    }
  }

  fn report(&self, id: &str, fault: &str) {
    self.fleet.log().faults.push(format!("ORDER: {:?} {id} {fault}", self.order.kind));
  }
}
