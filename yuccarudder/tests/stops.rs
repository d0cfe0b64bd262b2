//! What callers on raw connections get from a host that stops.

mod support;

use {
  hyper::{Request, Response, body::Incoming},
  nix::{
    sys::{
      signal::{self, Signal},
      stat::Mode,
    },
    unistd::{Pid, mkfifo},
  },
  rig::{
    address,
    fleet::{CREDENTIAL, Options, SERVICE},
    plain,
  },
  serde_json::Value,
  std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
  },
  support::Processes,
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime, task, time,
  },
  tokio_util::sync::CancellationToken,
  yuccarudder::{
    http::{self, Body},
    server,
  },
};

/// Size of an answer that does not fit into one packet.
const ANSWER_BYTES: usize = 150_000;
/// Time in which connections without a request in progress are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a pipe's buffer.
const PIPE_BYTES: usize = 64 << 10;
/// Number of times that a request crosses the close of its connection.
const CROSSINGS: u64 = 60;
const GET: &str = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Reads one answer that states its length; returns its head and its body.
async fn read_answer(stream: &mut TcpStream) -> io::Result<(String, Vec<u8>)> {
  let mut bytes = Vec::new();
  let head_end = loop {
    if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
      break end + 4;
    }
    if stream.read_buf(&mut bytes).await? == 0 {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
  };
  let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap().to_lowercase();
  let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
  let length: usize = length.expect("the answer states its length").parse().unwrap();
  while bytes.len() < head_end + length {
    if stream.read_buf(&mut bytes).await? == 0 {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
  }
  Ok((head, bytes[head_end..].to_vec()))
}

async fn ask(stream: &mut TcpStream, request: &str) -> io::Result<(String, Vec<u8>)> {
  stream.write_all(request.as_bytes()).await?;
  read_answer(stream).await
}

/// A server of connections with a handler that counts requests and answers after a delay.
struct Server {
  address: SocketAddr,
  request_count: Arc<AtomicUsize>,
  serving: task::JoinHandle<()>,
  stop: CancellationToken,
}

impl Server {
  async fn start(runtime: &runtime::Handle, delay: Duration) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let listener = listener.into_std().unwrap();
    let (request_count, stop) = (Arc::<AtomicUsize>::default(), CancellationToken::new());
    let (counter, stopping) = (Arc::clone(&request_count), stop.clone());
    let serving = runtime.spawn(async move {
      let listener = TcpListener::from_std(listener).unwrap();
      let handle = move |_: Request<Incoming>| {
        counter.fetch_add(1, Ordering::SeqCst);
        async move {
          time::sleep(delay).await;
          Response::<Body>::new(http::full(vec![b'x'; ANSWER_BYTES]))
        }
      };
      server::serve(listener, handle, stopping).await;
    });
    Self {
      address,
      request_count,
      serving,
      stop,
    }
  }
}

/// Guards against a last answer that is lost in the buffers of a process that ends right after it.
#[tokio::test]
async fn last_answer_arrives_after_the_end_of_the_server() {
  let runtime =
    runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
  let server = Server::start(runtime.handle(), Duration::from_millis(100)).await;
  let mut stream = TcpStream::connect(server.address).await.unwrap();
  stream.write_all(GET.as_bytes()).await.unwrap();
  // A request that is unread when the server stops gets no answer, so it has to be at the handler.
  while server.request_count.load(Ordering::SeqCst) == 0 {
    time::sleep(Duration::from_millis(1)).await;
  }
  server.stop.cancel();
  server.serving.await.unwrap();
  runtime.shutdown_background();
  time::sleep(Duration::from_millis(100)).await;
  let (head, body) = read_answer(&mut stream).await.unwrap();
  assert!(head.contains("connection: close"), "{head}");
  assert_eq!(body.len(), ANSWER_BYTES);
}

/// Guards against requests that are handled and not answered as they cross the close of their
/// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crosses_the_close_is_answered_if_it_is_handled() {
  let mut answered_count = 0;
  for number in 0..CROSSINGS {
    let server = Server::start(&runtime::Handle::current(), Duration::ZERO).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    ask(&mut stream, GET).await.unwrap();
    // The server notices the stop before or after it reads the request.
    if number % 2 == 0 {
      server.stop.cancel();
    }
    let stop = server.stop.clone();
    let sent = stream.write_all(GET.as_bytes()).await;
    stop.cancel();
    let answer = match sent {
      Ok(()) => read_answer(&mut stream).await,
      Err(error) => Err(error),
    };
    time::timeout(CLOSE_TIMEOUT, server.serving).await.expect("the server ends").unwrap();
    let answers = 1 + usize::from(answer.is_ok());
    assert_eq!(server.request_count.load(Ordering::SeqCst), answers);
    answered_count += usize::from(answer.is_ok());
  }
  println!("{answered_count} of {CROSSINGS} crossing requests were answered");
}

/// Guards against connections that keep the server from ending although nothing is in progress.
#[tokio::test]
async fn idle_and_unused_connections_are_closed_at_once() {
  let server = Server::start(&runtime::Handle::current(), Duration::ZERO).await;
  let mut idle = TcpStream::connect(server.address).await.unwrap();
  ask(&mut idle, GET).await.unwrap();
  let mut unused = TcpStream::connect(server.address).await.unwrap();
  time::sleep(Duration::from_millis(50)).await;
  server.stop.cancel();
  time::timeout(CLOSE_TIMEOUT, server.serving).await.expect("the server ends").unwrap();
  for stream in [&mut idle, &mut unused] {
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0);
  }
}

/// Options of hosts that accept jobs for two seconds after SIGTERM.
fn options() -> Options {
  let overrides = ["entries_keep: 500ms", "ticket_life: 1s", "drain_bound: 2s"];
  Options {
    overrides: overrides.map(Into::into).into(),
    ..Options::default()
  }
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
  format!(
    "{method} {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {CREDENTIAL}\r\n{headers}content-length: {}\r\n\r\n{body}",
    body.len()
  )
}

fn booking(name: &str, headers: &str) -> String {
  request(
    "POST",
    &format!("/v1/services/{SERVICE}/bookings"),
    headers,
    name,
  )
}

/// Returns the settings of a host without a platform.
fn lone_host() -> String {
  let [callers, operators, peers, platform] = [(); 4].map(|()| address::unused());
  format!(
    "callers: \"{callers}\"\ndata_centre: xiangshan\noperators: \"{operators}\"\npeers: \"{peers}\"\n\
     platform: \"{platform}\"\npoll: 2s\n"
  )
}

fn spawn(settings: &Path, log: impl Into<Stdio>) -> Child {
  Command::new(env!("CARGO_BIN_EXE_yuccarudder"))
    .args(["serve", "--settings"])
    .arg(settings)
    .stderr(log)
    .spawn()
    .unwrap()
}

fn terminate(child: &Child) {
  signal::kill(
    Pid::from_raw(child.id().try_into().unwrap()),
    Signal::SIGTERM,
  )
  .unwrap();
}

fn assert_exits(mut child: Child) {
  let started_at = Instant::now();
  while started_at.elapsed() < CLOSE_TIMEOUT {
    if let Some(status) = child.try_wait().unwrap() {
      assert!(status.success(), "{status}");
      return;
    }
    thread::sleep(Duration::from_millis(10));
  }
  child.kill().unwrap();
  child.wait().unwrap();
  panic!("the process did not exit");
}

/// Guards against a signal that ends a host at once as it does not handle it yet.
#[test]
fn process_that_starts_handles_sigterm() {
  let folder = tempfile::tempdir().unwrap();
  let path = folder.path().join("host.yaml");
  mkfifo(&path, Mode::S_IRWXU).unwrap();
  let child = spawn(&path, Stdio::null());
  // Opens once the process opens its settings, which it reads until the pipe is closed.
  let mut writer = OpenOptions::new().write(true).open(&path).unwrap();
  terminate(&child);
  writer.write_all(lone_host().as_bytes()).unwrap();
  drop(writer);
  assert_exits(child);
}

/// Guards against a log that keeps a host from serving and from ending as nobody reads it.
#[test]
fn process_ends_if_nobody_reads_its_log() {
  let folder = tempfile::tempdir().unwrap();
  let path = folder.path().join("host.yaml");
  fs::write(&path, lone_host()).unwrap();
  let (_reader, mut writer) = io::pipe().unwrap();
  writer.write_all(&[b'x'; PIPE_BYTES]).unwrap();
  let child = spawn(&path, writer);
  thread::sleep(Duration::from_secs(1));
  terminate(&child);
  assert_exits(child);
}

/// Guards against kept connections that a host closes while the next request is on its way, as its
/// answers after SIGTERM did not tell callers to leave.
#[tokio::test(flavor = "multi_thread")]
async fn answers_after_sigterm_close_the_connection() {
  let mut processes = Processes::start(options()).await;
  let address = processes.fleet.hosts[0].settings.callers;
  let mut stream = TcpStream::connect(address).await.unwrap();
  let models = request("GET", "/v1/models", "", "");
  let (head, _) = ask(&mut stream, &models).await.unwrap();
  assert!(!head.contains("connection: close"), "{head}");
  processes.hosts[0].signal(Signal::SIGTERM);
  time::sleep(Duration::from_millis(500)).await;
  let (head, _) = ask(&mut stream, &models).await.unwrap();
  assert!(head.contains("connection: close"), "{head}");
  assert!(processes.hosts[0].wait().await.success());
}

/// Sends bookings one after the other on connections that are kept until the host closes them, until
/// it accepts none; returns the names and the answers.
async fn book_until_refused(number: usize, address: SocketAddr) -> Vec<(String, Option<String>)> {
  let mut answers = Vec::new();
  while let Ok(mut stream) = TcpStream::connect(address).await {
    loop {
      let name = format!("seat {number}-{}", answers.len());
      let answer = ask(&mut stream, &booking(&name, "")).await;
      let head = answer.ok().map(|(head, _)| head);
      let is_open = head.as_ref().is_some_and(|head| !head.contains("connection: close"));
      answers.push((name, head));
      if !is_open {
        break;
      }
    }
    time::sleep(Duration::from_millis(50)).await;
  }
  answers
}

/// Guards against bookings that a stopping host accepts and does not answer while targets are slow:
/// on kept connections, sent after SIGTERM, and forwarded by another host.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_at_a_stopping_host_are_answered_while_targets_are_slow() {
  let mut processes = Processes::start(options()).await;
  for plain in &processes.fleet.plain_servers {
    plain.server.set_faults(plain::Faults {
      delay_ms: 1_500,
      ..plain::Faults::default()
    });
  }
  let hosts = [0, 1].map(|host| processes.fleet.hosts[host].settings.callers);
  let callers: Vec<_> = (0..8)
    .map(|number| {
      tokio::spawn(async move {
        time::sleep(Duration::from_millis(100) * u32::try_from(number).unwrap()).await;
        book_until_refused(number, hosts[0]).await
      })
    })
    .collect();
  time::sleep(Duration::from_millis(1_000)).await;
  let mut stream = TcpStream::connect(hosts[0]).await.unwrap();
  let (_, entries) = ask(&mut stream, &request("GET", "/v1/entries", "", "")).await.unwrap();
  let entries: Value = serde_json::from_slice(&entries).unwrap();
  let ticket = entries["ticket"].as_str().unwrap();
  let headers = format!("idempotency-key: k\r\nyuccarudder-ticket: {ticket}\r\n");
  let forwarded = tokio::spawn(async move {
    let mut stream = TcpStream::connect(hosts[1]).await.unwrap();
    ask(&mut stream, &booking("seat forwarded", &headers)).await.unwrap()
  });
  processes.hosts[0].signal(Signal::SIGTERM);
  let stopped_at = Instant::now();
  assert!(processes.hosts[0].wait().await.success());
  println!("ended after {:?}", stopped_at.elapsed());
  let (head, _) = forwarded.await.unwrap();
  assert!(head.starts_with("http/1.1 201"), "{head}");
  let runs = processes.fleet.runs();
  let mut served_count = 0;
  for caller in callers {
    for (name, head) in caller.await.unwrap() {
      let is_served = head.as_ref().is_some_and(|head| head.starts_with("http/1.1 201"));
      assert_eq!(runs.contains_key(&name), is_served, "{name}: {head:?}");
      served_count += usize::from(is_served);
    }
  }
  println!("{served_count} bookings were served");
  assert!(served_count > 8);
}
