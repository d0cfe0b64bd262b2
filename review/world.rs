//! The processes of a case, its clients and its record.

use crate::net::{Conn, free_address, now_ms};
use crate::store::Store;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const HOST_NAME: &str = "ficu95.example";
const SIGKILL: i32 = 9;

/// Sends a signal to a process that this one started.
fn signal(process: u32, number: i32) {
  unsafe extern "C" {
    fn kill(process: i32, number: i32) -> i32;
  }
  unsafe {
    kill(process as i32, number);
  }
}

/// Something that a process did.
#[derive(Clone, Debug)]
pub struct Entry {
  pub at: f64,
  pub who: String,
  pub word: String,
  pub request: String,
  pub detail: String,
}

/// What was sent, answered and run.
#[derive(Clone, Default)]
pub struct Record {
  entries: Arc<Mutex<Vec<Entry>>>,
}

impl Record {
  pub fn add(&self, who: &str, word: &str, request: &str, detail: &str) {
    self.add_at(now_ms(), who, word, request, detail);
  }

  pub fn add_at(&self, at: f64, who: &str, word: &str, request: &str, detail: &str) {
    let entry = Entry {
      at,
      who: who.into(),
      word: word.into(),
      request: request.into(),
      detail: detail.into(),
    };
    self.entries.lock().unwrap().push(entry);
  }

  pub fn all(&self) -> Vec<Entry> {
    let mut entries = self.entries.lock().unwrap().clone();
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    entries
  }

  pub fn write(&self, path: &str) {
    let entries = self.all();
    let start = entries.first().map_or(0.0, |entry| entry.at);
    let mut file = File::create(path).unwrap();
    for Entry {
      at,
      who,
      word,
      request,
      detail,
    } in entries
    {
      let _ = writeln!(
        file,
        "{:9.3} s  {who:<10} {word:<12} {request} {detail}",
        (at - start) / 1000.0
      );
    }
  }
}

/// An entry host as a process.
pub struct Host {
  pub child: Child,
  pub callers: SocketAddr,
  pub directory: SocketAddr,
  pub readiness: SocketAddr,
}

/// A server as a process.
pub struct Server {
  pub id: String,
  pub service: String,
  pub zone: String,
  pub address: SocketAddr,
  pub born: u64,
  pub child: Child,
  stdin: Arc<Mutex<ChildStdin>>,
  /// Whether its entry is renewed.
  pub is_alive: bool,
  pub state: &'static str,
}

impl Server {
  pub fn tell(&self, line: &str) {
    let _ = writeln!(self.stdin.lock().unwrap(), "{line}");
  }

  fn entry(&self, sequence: u64) -> String {
    let capacity = if self.service == "llm" { 24 } else { 6 };
    format!(
      "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{capacity},\
             \"lifecycle_state\":\"{}\",\"warmup_remaining_ms\":0,\"phase\":\"unified\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\"born\":{},\"sequence\":{sequence}}}",
      self.service, self.address, self.zone, self.state, self.born
    )
  }
}

pub struct World {
  pub folder: PathBuf,
  pub hosts: Vec<Host>,
  pub record: Record,
  pub servers: Arc<Mutex<Vec<Server>>>,
  pub store: Store,
}

impl Drop for World {
  fn drop(&mut self) {
    for host in &mut self.hosts {
      let _ = host.child.kill();
      let _ = host.child.wait();
    }
    for server in self.servers.lock().unwrap().iter_mut() {
      let _ = server.child.kill();
      let _ = server.child.wait();
    }
    let _ = fs::remove_dir_all(&self.folder);
  }
}

impl World {
  pub fn new() -> Self {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let world = Self {
      folder,
      hosts: Vec::new(),
      record: Record::default(),
      servers: Arc::default(),
      store: Store::start(),
    };
    // The servers renew their entries.
    let (servers, store) = (Arc::clone(&world.servers), world.store.clone());
    thread::spawn(move || {
      for sequence in 2.. {
        thread::sleep(Duration::from_millis(1200));
        for server in servers.lock().unwrap().iter().filter(|server| server.is_alive) {
          store.put(&format!("servers/{}", server.id), &server.entry(sequence));
        }
      }
    });
    world
  }

  /// Starts hosts, rendered from `deploy/host.yaml` as the users' pages say.
  pub fn start_hosts(&mut self, zones: &[&str]) {
    let addresses: Vec<[SocketAddr; 5]> =
      zones.iter().map(|_| [(); 5].map(|()| free_address())).collect();
    let seeds: Vec<String> = addresses.iter().take(3).map(|host| host[3].to_string()).collect();
    for (index, zone) in zones.iter().enumerate() {
      let [callers, readiness, directory, peers, metrics] = addresses[index];
      let name = format!("edge-{}", index + 1);
      let text = format!(
        "name: {name}\ndata_centre: {zone}\nfirst_start: true\ncallers: {callers}\nreadiness: {readiness}\n\
                 directory: {directory}\npeers: {peers}\nseeds: [{}]\nstore: {}\nmetrics: {metrics}\ncores: 0.25\n\
                 link_mbps: 1000.0\nmemory_mb: 110\nlog: json\npromises:\n  catalog_applied_ms: 2000\n  cold_allowance: 5\n\
                 \x20 cold_overage: 1.5\n  directory_keep_s: 5\n  heartbeat_ms: 1200\n  grace_s: 8\n  retry_allowance: 52\n\
                 \x20 retry_share: 0.2\n  retry_window_s: 10\n  revocation_ms: 5000\n",
        seeds.join(","),
        self.store.address
      );
      let path = self.folder.join(format!("{name}.yaml"));
      fs::write(&path, text).unwrap();
      let log: Stdio = match std::env::var("REVIEW_LOGS") {
        Ok(logs) => File::create(format!("{logs}/{name}.log")).unwrap().into(),
        Err(_) => Stdio::null(),
      };
      let child = Command::new("target/release/yuccarudder-platform")
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("YUCCARUDDER_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .expect("the program of the deploy file is not built");
      self.hosts.push(Host {
        child,
        callers,
        directory,
        readiness,
      });
    }
  }

  /// Waits until all hosts are ready and know each other.
  pub fn wait_until_ready(&self) {
    let deadline = Instant::now() + Duration::from_secs(15);
    let is_ready = |host: &Host| {
      let names_all =
        self.lookup(host).is_some_and(|addresses| addresses.len() == self.hosts.len());
      names_all
        && matches!(
          crate::net::call(host.readiness, "GET", "/readyz", "", Duration::from_secs(1)),
          Ok((200, _))
        )
    };
    while !self.hosts.iter().all(is_ready) {
      if Instant::now() > deadline {
        eprintln!("the hosts were not ready in time");
        self.give_up();
      }
      thread::sleep(Duration::from_millis(100));
    }
    self.record.add(
      "driver",
      "ready",
      "-",
      &format!("{} hosts", self.hosts.len()),
    );
    self.watch(Duration::from_secs(100));
  }

  /// Ends the case as one that couldn't run if it takes longer than this.
  pub fn watch(&self, limit: Duration) {
    let servers = Arc::clone(&self.servers);
    let hosts: Vec<u32> = self.hosts.iter().map(|host| host.child.id()).collect();
    thread::spawn(move || {
      thread::sleep(limit);
      eprintln!("the case took too long");
      for process in
        hosts.into_iter().chain(servers.lock().unwrap().iter().map(|server| server.child.id()))
      {
        signal(process, SIGKILL);
      }
      std::process::exit(2);
    });
  }

  /// Ends the case as one that couldn't run.
  pub fn give_up(&self) -> ! {
    for host in &self.hosts {
      signal(host.child.id(), SIGKILL);
    }
    for server in self.servers.lock().unwrap().iter() {
      signal(server.child.id(), SIGKILL);
    }
    std::process::exit(2);
  }

  /// Asks a host where to connect.
  pub fn lookup(&self, host: &Host) -> Option<Vec<SocketAddr>> {
    let path = format!("/lookup?name={HOST_NAME}&region=hsinchu&zone=east-dist");
    let (status, body) =
      crate::net::call(host.directory, "GET", &path, "", Duration::from_secs(1)).ok()?;
    if status != 200 {
      return None;
    }
    let list = body.split('[').nth(1)?.split(']').next()?;
    Some(list.split(',').filter_map(|text| text.trim().trim_matches('"').parse().ok()).collect())
  }

  /// Starts a server and registers it.
  pub fn start_server(
    &self,
    service: &str,
    zone: &str,
    id: &str,
    arguments: &[&str],
  ) -> SocketAddr {
    let address = free_address();
    let born = now_ms() as u64;
    let mut child = Command::new(std::env::current_exe().unwrap())
      .args(["server", id, &address.to_string(), &format!("zone={zone}")])
      .args(arguments)
      .stdin(Stdio::piped())
      .stdout(Stdio::piped())
      .spawn()
      .unwrap();
    let output = child.stdout.take().unwrap();
    let stdin = Arc::new(Mutex::new(child.stdin.take().unwrap()));
    let (record, who) = (self.record.clone(), id.to_owned());
    let (listening, listens) = std::sync::mpsc::channel();
    thread::spawn(move || {
      for line in BufReader::new(output).lines().map_while(Result::ok) {
        let mut words = line.splitn(4, ' ');
        let at = words.next().and_then(|at| at.parse().ok()).unwrap_or_default();
        let [word, request, detail] = [(); 3].map(|()| words.next().unwrap_or_default());
        if word == "listening" {
          let _ = listening.send(());
        }
        record.add_at(at, &who, word, request, detail);
      }
    });
    listens.recv_timeout(Duration::from_secs(5)).expect("a server did not start");
    let server = Server {
      id: id.into(),
      service: service.into(),
      zone: zone.into(),
      address,
      born,
      child,
      stdin,
      is_alive: true,
      state: "available",
    };
    self.store.put(&format!("servers/{id}"), &server.entry(1));
    self.servers.lock().unwrap().push(server);
    address
  }

  /// Changes a server under the lock of all.
  pub fn with_server<R>(&self, id: &str, change: impl FnOnce(&mut Server) -> R) -> R {
    let mut servers = self.servers.lock().unwrap();
    change(servers.iter_mut().find(|server| server.id == id).unwrap())
  }

  /// A server reports that it drains; returns when the store acknowledged that.
  pub fn drain(&self, id: &str, leaves_ms: u64) -> f64 {
    let entry = self.with_server(id, |server| {
      server.tell(&format!("leave {leaves_ms}"));
      server.state = "draining";
      server.entry(1000)
    });
    self.store.put(&format!("servers/{id}"), &entry);
    self.record.add(
      "store",
      "draining",
      "-",
      &format!("{id} leaves in {leaves_ms} ms"),
    );
    now_ms()
  }

  /// A server that has drained ends.
  pub fn end_server(&self, id: &str) {
    self.with_server(id, |server| {
      server.is_alive = false;
      signal(server.child.id(), SIGKILL);
    });
    self.record.add("driver", "ends", "-", id);
    self.store.remove(&format!("servers/{id}"));
  }

  /// The process of a server is killed.
  pub fn kill_server(&self, id: &str) {
    self.with_server(id, |server| {
      server.is_alive = false;
      signal(server.child.id(), SIGKILL);
    });
    self.record.add("driver", "kills", "-", id);
  }
}

/// How an answer ended, as its client sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
  /// By its length or its last chunk.
  Whole,
  /// The connection broke after the head.
  Cut,
  /// There was no head.
  None,
}

/// An answer, as its client sees it.
#[derive(Clone, Debug)]
pub struct Answer {
  pub status: u16,
  pub signature: Option<String>,
  pub body: String,
  pub end: End,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a request.
pub fn new_id(kind: &str) -> String {
  format!("{kind}{:06x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request on a connection of its own and reads its answer.
pub fn send(
  record: &Record,
  host: SocketAddr,
  method: &str,
  path: &str,
  id: &str,
  headers: &str,
  body: &str,
  deadline_ms: u64,
) -> Answer {
  send_with_gap(
    record,
    host,
    method,
    path,
    id,
    headers,
    body,
    deadline_ms,
    deadline_ms,
  )
}

/// Sends one request and leaves when nothing has come for `gap_ms`.
#[allow(clippy::too_many_arguments)]
pub fn send_with_gap(
  record: &Record,
  host: SocketAddr,
  method: &str,
  path: &str,
  id: &str,
  headers: &str,
  body: &str,
  deadline_ms: u64,
  gap_ms: u64,
) -> Answer {
  record.add(
    "client",
    "sends",
    id,
    &format!("{method} {path} to {host} {}", headers.replace("\r\n", " ")),
  );
  let mut answer = Answer {
    status: 0,
    signature: None,
    body: String::new(),
    end: End::None,
  };
  let result = exchange(
    host,
    method,
    path,
    id,
    headers,
    body,
    deadline_ms,
    gap_ms,
    &mut answer,
  );
  let tail: String =
    answer.body.chars().rev().take(60).collect::<Vec<_>>().into_iter().rev().collect();
  let word = match &result {
    Err(error) if error.kind() == io::ErrorKind::WouldBlock => "leaves",
    _ => "gets",
  };
  let error = result.err().map_or(String::new(), |error| error.to_string());
  record.add(
    "client",
    word,
    id,
    &format!(
      "status={} end={:?} bytes={} {error} last: {}",
      answer.status,
      answer.end,
      answer.body.len(),
      tail.replace('\n', " ")
    ),
  );
  answer
}

fn exchange(
  host: SocketAddr,
  method: &str,
  path: &str,
  id: &str,
  headers: &str,
  body: &str,
  deadline_ms: u64,
  gap_ms: u64,
  answer: &mut Answer,
) -> io::Result<()> {
  let mut conn = Conn::connect(host, Duration::from_secs(1))?;
  conn.stream.set_read_timeout(Some(Duration::from_millis(gap_ms)))?;
  conn.write(&format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST_NAME}\r\nx-yuccarudder-request-id: {id}\r\n\
         x-yuccarudder-deadline-ms: {deadline_ms}\r\nauthorization: Token {KEY}\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    ))?;
  let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
  answer.status = head.status();
  answer.signature = head.header("x-yuccarudder-server-signature").map(str::to_owned);
  answer.end = End::Cut;
  if head.header("transfer-encoding").is_some() {
    while let Some(chunk) = conn.read_chunk()? {
      answer.body += &String::from_utf8_lossy(&chunk);
    }
  } else if let Some(length) = head.header("content-length").and_then(|value| value.parse().ok()) {
    answer.body = String::from_utf8_lossy(&conn.read_exact(length)?).into_owned();
  } else {
    while let Some(bytes) = conn.read_some()? {
      answer.body += &String::from_utf8_lossy(&bytes);
    }
  }
  answer.end = End::Whole;
  Ok(())
}

/// Returns the ids of the events of a stream.
pub fn event_ids(body: &str) -> Vec<u64> {
  body.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok()).collect()
}

/// The first configuration: two routes to model engines, whose links have `kv_mbps`, and two to a plain service.
pub fn config(version: u64, kv_mbps: u32) -> String {
  let route = |name: &str,
               kind: &str,
               service: &str,
               timeout: u64,
               objective: u64,
               attempts: u32,
               more: &str| {
    format!(
      "{{\"name\":\"{name}\",\"hostname\":\"{HOST_NAME}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{objective},\"priority\":1,\"backend\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false{more}}}"
    )
  };
  let llm = ",\"session_affinity\":true,\"resumable\":false,\"target_itl_ms\":180";
  let resumable = ",\"session_affinity\":true,\"resumable\":true,\"target_itl_ms\":180";
  let routes = [
    route("plan", "streaming", "llm", 39000, 1800, 1, llm),
    route("sort", "streaming", "llm", 6000, 1500, 2, resumable),
    route("note", "streaming", "llm", 39000, 500, 2, resumable),
    route("book", "non_idempotent", "app", 1000, 150, 1, ""),
    route("read", "idempotent", "app", 1000, 150, 2, ""),
  ];
  let llm = format!(
    "{{\"name\":\"llm\",\"health_check_path\":\"/healthz\",\"max_connections\":232,\"protocol\":\"h1\",\"tls\":false,\
        \"warmup_s\":1.0,\"warmup_per_s\":25.0,\"runtime\":{{\"capacity\":24,\"kv_cache_tokens\":34201,\"kv_token_bytes\":163840,\
        \"bandwidth_mbps\":{kv_mbps},\"migrations\":true,\"replicas\":true,\"interval\":4,\"most\":12,\"pin_duration_ms\":4000.0,\
        \"hold_duration_ms\":2000.0,\"handle_ttl_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
  );
  let app = "{\"name\":\"app\",\"health_check_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\
        \"warmup_s\":0.0,\"warmup_per_s\":0.0}";
  format!(
    "{{\"version\":{version},\"routes\":[{}],\"backends\":[{llm},{app}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
    routes.join(",")
  )
}
