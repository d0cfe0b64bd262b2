use {
  super::{fleet::Fleet, log::Run},
  crate::roster::{Listing, State},
  socket2::SockRef,
  std::{
    collections::HashSet,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{self, Instant},
  },
  tokio_util::sync::CancellationToken,
};

/// The service of the engines.
pub const ENGINES: &str = "llm";
/// The service of the plain targets.
pub const PLAIN: &str = "plain";
/// The version that all targets serve.
const VERSION: &str = "v1";
/// Time to make one piece of an answer.
const PIECE_TIME: Duration = Duration::from_millis(50);
/// Time until the store removes the entry of a target that has crashed.
const EXPIRY: Duration = Duration::from_millis(2_400);

/// A process of a target: its number and how often it was started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Id(usize, u64);

impl Id {
  /// Returns when it started, which tells processes apart.
  pub fn started_ms(self) -> u64 {
    self.1
  }
}

impl fmt::Display for Id {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "i-{}-{}", self.0, self.1)
  }
}

/// A process of a target that runs.
#[derive(Clone, Debug)]
pub struct Process {
  pub draining_since: Option<Instant>,
  pub end: CancellationToken,
  pub id: Id,
  pub leaves_at: Option<Instant>,
}

#[derive(Default)]
struct Memory {
  /// Copies of runs that it holds, by their handles.
  copies: HashSet<String>,
  handle_count: u64,
  process: Option<Process>,
  starts: u64,
}

/// A target, which serves whenever it runs.
pub struct Target {
  /// Its address for each host.
  pub addresses: Vec<SocketAddr>,
  memory: Mutex<Memory>,
  number: usize,
  service: &'static str,
  slots: u32,
}

/// What a target reads of the head of a request.
struct Head {
  copy: Option<String>,
  expected: Option<String>,
  is_framed: bool,
  key: String,
  last_event_id: u64,
  pieces: u64,
  request: String,
}

impl Head {
  fn parse(text: &str) -> Option<Self> {
    let field = |name: &str| {
      let mut fields = text.lines().filter_map(|line| line.split_once(": "));
      fields
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
    };
    Some(Self {
      copy: field("copy").and_then(|copy| Some(copy.split_once('/')?.1.to_owned())),
      expected: field("target"),
      is_framed: field("framed")? == "true",
      key: field("key")?,
      last_event_id: field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0),
      pieces: field("pieces")?.parse().ok()?,
      request: field("request")?,
    })
  }
}

/// Returns a piece of an answer.
pub fn piece(key: &str, number: u64) -> String {
  format!("id: {number:03}\ndata: {VERSION} {key}\n\n")
}

impl Target {
  pub async fn new(hosts: usize, number: usize, service: &'static str, slots: u32) -> Self {
    let mut addresses = Vec::new();
    for _ in 0..hosts {
      addresses.push(super::free_address().await);
    }
    Self {
      addresses,
      memory: Mutex::default(),
      number,
      service,
      slots,
    }
  }

  pub fn is_engine(&self) -> bool {
    self.service == ENGINES
  }

  /// Returns the process that runs.
  pub fn process(&self) -> Option<Process> {
    self.memory.lock().unwrap().process.clone()
  }

  /// Returns the handle of another copy.
  pub fn next_handle(&self) -> String {
    let mut memory = self.memory.lock().unwrap();
    memory.handle_count += 1;
    format!("{}.{}", self.number, memory.handle_count)
  }

  /// Takes a place for a copy; returns its process, or `None` if it has no place.
  pub fn hold_place(&self, handle: &str, fleet: &Fleet) -> Option<Id> {
    let id = self.process()?.id;
    if !self.has_place(fleet, id) {
      return None;
    }
    self.memory.lock().unwrap().copies.insert(handle.to_owned());
    Some(id)
  }

  pub fn drop_copy(&self, handle: &str) {
    self.memory.lock().unwrap().copies.remove(handle);
  }

  fn has_place(&self, fleet: &Fleet, id: Id) -> bool {
    let log = fleet.log();
    let runs = log.runs.iter().filter(|run| run.process == id && run.ended_at.is_none()).count();
    runs + self.memory.lock().unwrap().copies.len() < self.slots as usize
  }

  /// Starts another process, unless one runs.
  pub async fn start(&self, fleet: &Arc<Fleet>) {
    if self.process().is_some() {
      return;
    }
    let process = {
      let mut memory = self.memory.lock().unwrap();
      memory.starts += 1;
      memory.copies.clear();
      let process = Process {
        draining_since: None,
        end: CancellationToken::new(),
        id: Id(self.number, memory.starts),
        leaves_at: None,
      };
      memory.process = Some(process.clone());
      process
    };
    self.publish(fleet, &process);
    for (host, address) in self.addresses.iter().enumerate() {
      let link = Link {
        host,
        process: process.clone(),
        target: self.number,
      };
      let listener = TcpListener::bind(address).await.unwrap();
      tokio::spawn(link.accept(Arc::clone(fleet), listener));
    }
  }

  fn publish(&self, fleet: &Fleet, process: &Process) {
    let listing = Listing {
      address: self.addresses[0],
      started_ms: Some(process.id.started_ms()),
      data_centre: "kochi".to_owned(),
      service: self.service.to_owned(),
      slots: self.slots,
      state: if process.draining_since.is_some() {
        State::Draining
      } else {
        State::Available
      },
      version: VERSION.to_owned(),
      warmup_remaining: Duration::ZERO,
    };
    fleet.store().write(&process.id.to_string(), Some(listing));
  }

  /// Ends the process that runs, at once.
  pub fn crash(&self, fleet: &Arc<Fleet>) {
    let Some(process) = self.memory.lock().unwrap().process.take() else {
      return;
    };
    process.end.cancel();
    let fleet = Arc::clone(fleet);
    let expiry = if process.draining_since.is_some() {
      Duration::ZERO
    } else {
      EXPIRY
    };
    tokio::spawn(async move {
      time::sleep(expiry).await;
      fleet.store().write(&process.id.to_string(), None);
    });
  }

  /// Lets the process that runs leave after a notice.
  pub fn leave(&self, fleet: &Arc<Fleet>, notice: Duration) {
    let process = {
      let mut memory = self.memory.lock().unwrap();
      let Some(process) = memory.process.as_mut().filter(|it| it.draining_since.is_none()) else {
        return;
      };
      process.draining_since = Some(Instant::now());
      process.leaves_at = Some(Instant::now() + notice);
      process.clone()
    };
    self.publish(fleet, &process);
    let (fleet, number) = (Arc::clone(fleet), self.number);
    tokio::spawn(async move {
      time::sleep(notice).await;
      if !process.end.is_cancelled() {
        fleet.targets[number].crash(&fleet);
      }
    });
  }

  /// Begins a run if the request is for this process and there is a place; returns its index.
  fn begin(
    &self,
    fleet: &Fleet,
    host: usize,
    process: Id,
    head: &Head,
  ) -> Result<usize, &'static str> {
    let current = self.process().filter(|current| current.id == process).ok_or("503 Ended")?;
    if head.expected.as_deref() != Some(&process.to_string()) {
      return Err("421 Misdirected");
    }
    let has_copy = match &head.copy {
      Some(handle) => self.memory.lock().unwrap().copies.remove(handle),
      None => false,
    };
    let may_begin = has_copy || head.copy.is_none() && self.has_place(fleet, process);
    if !may_begin {
      return Err("503 Busy");
    }
    let mut log = fleet.log();
    log.runs.push(Run {
      draining_since: current.draining_since,
      ended_at: None,
      events: Vec::new(),
      first: head.last_event_id,
      host,
      is_copy: has_copy,
      is_lost: false,
      lose: CancellationToken::new(),
      process,
      request: head.request.clone(),
      started_at: Instant::now(),
      stop: CancellationToken::new(),
    });
    Ok(log.runs.len() - 1)
  }
}

/// The way from a host to a process of a target.
#[derive(Clone)]
struct Link {
  host: usize,
  process: Process,
  target: usize,
}

impl Link {
  /// Accepts connections; refuses them while the links of the host are cut.
  async fn accept(self, fleet: Arc<Fleet>, listener: TcpListener) {
    let address = listener.local_addr().unwrap();
    let mut cut = fleet.cuts[self.host].subscribe();
    let mut listener = Some(listener);
    loop {
      if *cut.borrow_and_update() {
        listener = None;
      } else if listener.is_none() {
        listener = Some(TcpListener::bind(address).await.unwrap());
      }
      let accepted = async {
        match &listener {
          Some(listener) => listener.accept().await.unwrap().0,
          None => std::future::pending().await,
        }
      };
      tokio::select! {
        biased;
        () = self.process.end.cancelled() => return,
        changed = cut.changed() => changed.unwrap(),
        stream = accepted => drop(tokio::spawn(serve(Arc::clone(&fleet), self.clone(), stream))),
      }
    }
  }
}

/// Serves the one request of a connection.
async fn serve(fleet: Arc<Fleet>, link: Link, mut stream: TcpStream) {
  let Link {
    host,
    process,
    target,
  } = link;
  let read = read_head(&mut stream);
  let Some(head) = process.end.run_until_cancelled(read).await.flatten() else {
    return;
  };
  let target = &fleet.targets[target];
  let signed = format!("request: {}\r\nsigned: true", head.request);
  let run = match target.begin(&fleet, host, process.id, &head) {
    Ok(run) => run,
    Err(status) => {
      let text =
        format!("HTTP/1.1 {status}\r\n{signed}\r\nnot-run: true\r\ncontent-length: 0\r\n\r\n");
      let _ = stream.write_all(text.as_bytes()).await;
      return;
    }
  };
  let is_chunked = target.is_engine() && head.is_framed;
  let length = head.pieces * piece(&head.key, 0).len() as u64;
  let framing = match (head.is_framed, is_chunked) {
    (_, true) => "transfer-encoding: chunked".to_owned(),
    (true, false) => format!("content-length: {length}"),
    (false, false) => "connection: close".to_owned(),
  };
  let text = format!("HTTP/1.1 200 OK\r\n{signed}\r\n{framing}\r\n\r\n");
  let mut stream = Some(stream);
  if fleet.loses_next_answer.swap(false, Ordering::Relaxed) {
    reset(stream.take());
    fleet.log().runs[run].is_lost = true;
  }
  if let Some(stream) = &mut stream {
    // The connection may be closed by now, which the run finds out below.
    let _ = stream.write_all(text.as_bytes()).await;
  }
  let answer = Answer {
    is_chunked,
    key: head.key,
    pieces: head.pieces,
    process,
    run,
  };
  answer.produce(&fleet, stream).await;
  fleet.log().runs[run].ended_at = Some(Instant::now());
}

/// An answer that is being made.
struct Answer {
  is_chunked: bool,
  key: String,
  pieces: u64,
  process: Process,
  run: usize,
}

impl Answer {
  /// Makes the pieces until the last one, or until the run is cancelled.
  async fn produce(&self, fleet: &Fleet, mut stream: Option<TcpStream>) {
    let (first, lose, stop) = {
      let log = fleet.log();
      let run = &log.runs[self.run];
      (run.first, run.lose.clone(), run.stop.clone())
    };
    for number in first + 1..=self.pieces {
      let made_at = Instant::now() + PIECE_TIME;
      loop {
        tokio::select! {
          biased;
          () = self.process.end.cancelled() => return,
          () = stop.cancelled() => return,
          () = lose.cancelled(), if stream.is_some() => {
            reset(stream.take());
            fleet.log().runs[self.run].is_lost = true;
          }
          () = wait_for_close(&mut stream) => return,
          () = time::sleep_until(made_at) => break,
        }
      }
      fleet.log().runs[self.run].events.push(Instant::now());
      if let Some(stream) = &mut stream {
        let piece = piece(&self.key, number);
        let text = if self.is_chunked {
          format!("{:x}\r\n{piece}\r\n", piece.len())
        } else {
          piece
        };
        let _ = stream.write_all(text.as_bytes()).await;
      }
    }
    if let (Some(stream), true) = (&mut stream, self.is_chunked) {
      let _ = stream.write_all(b"0\r\n\r\n").await;
    }
  }
}

/// Resets a connection: an answer without a length or chunks that is lost does not look whole.
fn reset(stream: Option<TcpStream>) {
  if let Some(stream) = stream {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
  }
}

async fn wait_for_close(stream: &mut Option<TcpStream>) {
  let Some(stream) = stream else {
    return std::future::pending().await;
  };
  while !matches!(stream.read(&mut [0; 64]).await, Ok(0) | Err(_)) {}
}

/// Reads the head of a request; `None` if the connection is closed before its end.
async fn read_head(stream: &mut TcpStream) -> Option<Head> {
  let mut bytes = Vec::new();
  while !bytes.ends_with(b"\r\n\r\n") {
    if matches!(stream.read_buf(&mut bytes).await, Ok(0) | Err(_)) {
      return None;
    }
  }
  Head::parse(&String::from_utf8(bytes).ok()?)
}
