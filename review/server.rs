//! A stand-in of a server, as a process of its own: a plain service or a model engine.
//!
//! What it does stands on its standard output, one line for each: time, word, request and details.
//! Lines on its standard input change what it does: `leave MS` (it leaves in so many milliseconds), `lose N`
//! (the answers of the next N streams are lost: their connections are reset, and the runs go on).

use crate::net::{self, Conn, Message, json_field, now_ms, respond};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Prompt tokens that are read in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 14.0;
const TOKENS_PER_EVENT: u64 = 4;
/// Events that the caller of a stream has got when the rest of the answer is lost.
const EVENTS_BEFORE_LOSS: u64 = 10;

/// How the server behaves; the defaults are those of a sound server of the users' small site.
#[derive(Clone, Debug)]
pub struct Options {
  pub id: String,
  pub address: SocketAddr,
  /// Time that a token of a stream takes.
  pub token_ms: f64,
  /// Time that a plain request takes.
  pub work_ms: u64,
  /// Answers have no length and end with their connection.
  pub unframed: bool,
  /// Size of a token in memory.
  pub kv_bytes_per_token: f64,
  /// Bandwidth of the link to other servers.
  pub kv_mbps: f64,
  pub zone: String,
}

#[derive(Default)]
struct State {
  /// Tokens in memory and events made, by request.
  runs: HashMap<String, (u64, u64)>,
  /// Events made, by copy, with the request.
  copies: HashMap<String, (String, u64)>,
  leaves_at: Option<Instant>,
  /// Until when copies occupy the link.
  link_free_at: Option<Instant>,
  handles: u64,
  answers_to_lose: u64,
}

#[derive(Clone)]
struct Server {
  options: Options,
  state: Arc<Mutex<State>>,
}

fn log(word: &str, request: &str, detail: &str) {
  let mut out = io::stdout().lock();
  let _ = writeln!(out, "{:.1} {word} {request} {detail}", now_ms());
  let _ = out.flush();
}

pub fn run(options: Options) {
  let listener = TcpListener::bind(options.address).unwrap();
  let server = Server {
    state: Arc::default(),
    options,
  };
  let commanded = server.clone();
  thread::spawn(move || commanded.obey());
  log("listening", "-", "");
  for stream in listener.incoming().flatten() {
    let server = server.clone();
    thread::spawn(move || {
      let mut conn = Conn::new(stream);
      while let Ok(Some(request)) = conn.read_request() {
        match server.serve(&mut conn, &request) {
          Ok(true) => {}
          _ => return,
        }
      }
    });
  }
}

impl Server {
  fn obey(&self) {
    for line in io::stdin().lock().lines().map_while(Result::ok) {
      let words: Vec<&str> = line.split(' ').collect();
      match words[..] {
        ["leave", ms] => {
          let left = Duration::from_millis(ms.parse().unwrap());
          self.state.lock().unwrap().leaves_at = Some(Instant::now() + left);
        }
        ["lose", count] => self.state.lock().unwrap().answers_to_lose = count.parse().unwrap(),
        _ => {}
      }
    }
    // The process that started this one has ended.
    std::process::exit(0);
  }

  /// Serves a request; returns whether the connection can take another one.
  fn serve(&self, conn: &mut Conn, request: &Message) -> io::Result<bool> {
    let target = request.target();
    let path = target.split('?').next().unwrap_or_default();
    let id = request.header("x-yuccarudder-request-id");
    match (request.method(), path) {
      ("GET", "/report") => return self.report(conn).map(|()| true),
      ("POST", "/kv-move") => return self.copy(conn, request).map(|()| true),
      ("GET", "/stand-zone") => {
        return respond(conn, "200 OK", "", &self.options.zone).map(|()| true);
      }
      ("POST", "/stand-copy") => return self.take_copy(conn, request).map(|()| true),
      ("DELETE", _) if path.starts_with("/kv-handle/") => {
        log("free", "-", path);
        return respond(conn, "200 OK", "", "{}").map(|()| true);
      }
      ("GET", "/healthz") => {
        let header = format!("x-yuccarudder-instance-id: {}\r\n", self.options.id);
        return respond(conn, "200 OK", &header, "{}").map(|()| true);
      }
      _ => {}
    }
    let Some(id) = id else {
      return respond(
        conn,
        "400 Bad Request",
        "x-yuccarudder-not-executed: 1\r\n",
        "{}",
      )
      .map(|()| true);
    };
    if request
      .header("x-yuccarudder-expect-instance")
      .is_some_and(|expected| expected != self.options.id)
    {
      let header = format!(
        "x-yuccarudder-instance-id: {}\r\nx-yuccarudder-request-id: {id}\r\nx-yuccarudder-not-executed: 1\r\n",
        self.options.id
      );
      log("misdirected", id, "");
      return respond(conn, "421 Misdirected Request", &header, "{}").map(|()| true);
    }
    let last = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
    let from = request.header("kv-from").unwrap_or("-");
    log(
      "arrives",
      id,
      &format!("target={target} last={last} kv_from={from}"),
    );
    if request.header("x-yuccarudder-token-usage").is_some() {
      self.stream(conn, request, id, last)
    } else {
      self.answer(conn, id)
    }
  }

  fn head(&self, id: &str, framing: &str, kind: &str) -> String {
    format!(
      "HTTP/1.1 200 OK\r\nx-yuccarudder-request-id: {id}\r\nx-yuccarudder-server-signature: {}.{id}\r\n\
             content-type: {kind}\r\n{framing}\r\n",
      self.options.id
    )
  }

  /// Runs a plain request.
  fn answer(&self, conn: &mut Conn, id: &str) -> io::Result<bool> {
    log("runs", id, "");
    let work = Duration::from_millis(self.options.work_ms);
    let body = format!("{{\"of\":\"{id}\",\"text\":\"{}\"}}", "x".repeat(700));
    if self.options.unframed {
      // The answer is written as it is made, and ends with its connection.
      let (first, rest) = body.split_at(400);
      conn.write(&(self.head(id, "connection: close\r\n", "application/json") + first))?;
      thread::sleep(work);
      conn.write(rest)?;
      log("ends", id, "whole");
      return Ok(false);
    }
    thread::sleep(work);
    log("ends", id, "whole");
    let framing = format!("content-length: {}\r\n", body.len());
    conn.write(&(self.head(id, &framing, "application/json") + &body))?;
    Ok(true)
  }

  /// Runs a request whose response is a stream.
  fn stream(&self, conn: &mut Conn, request: &Message, id: &str, last: u64) -> io::Result<bool> {
    let usage = request.header("x-yuccarudder-token-usage").unwrap();
    let (prompt, max) = usage.split_once(',').unwrap();
    let prompt: u64 = prompt.trim().parse().unwrap();
    let events = max.trim().parse::<u64>().unwrap() / TOKENS_PER_EVENT;
    let mut loses = false;
    if let Some(from) = request.header("kv-from") {
      let handle = from.rsplit('/').next().unwrap_or_default();
      let copy = self.state.lock().unwrap().copies.remove(handle);
      if copy.is_none_or(|(of, _)| of != id) {
        log("rejects", id, "no such copy");
        let header = format!("x-yuccarudder-request-id: {id}\r\nx-yuccarudder-not-executed: 1\r\n");
        return respond(conn, "503 Service Unavailable", &header, "{}").map(|()| true);
      }
    } else {
      let mut state = self.state.lock().unwrap();
      if state.answers_to_lose > 0 {
        state.answers_to_lose -= 1;
        loses = true;
      }
      drop(state);
      thread::sleep(Duration::from_secs_f64(
        prompt as f64 / PREFILL_TOKENS_PER_MS / 1000.0,
      ));
    }
    log("runs", id, &format!("events={events} after={last}"));
    self.state.lock().unwrap().runs.insert(id.to_owned(), (prompt, last));
    let end = self.events(conn, id, prompt, last, events, loses);
    self.state.lock().unwrap().runs.remove(id);
    log(
      "ends",
      id,
      if end.is_ok() {
        "whole"
      } else {
        "its connection was closed"
      },
    );
    end?;
    Ok(!self.options.unframed)
  }

  fn events(
    &self,
    conn: &mut Conn,
    id: &str,
    prompt: u64,
    last: u64,
    events: u64,
    loses: bool,
  ) -> io::Result<()> {
    let unframed = self.options.unframed;
    let framing = if unframed {
      "connection: close\r\n"
    } else {
      "transfer-encoding: chunked\r\n"
    };
    conn.write(&self.head(id, framing, "text/event-stream"))?;
    let pause = Duration::from_secs_f64(self.options.token_ms * TOKENS_PER_EVENT as f64 / 1000.0);
    for number in last + 1..=events {
      thread::sleep(pause);
      if loses && number > last + EVENTS_BEFORE_LOSS {
        if number == last + EVENTS_BEFORE_LOSS + 1 {
          let what = "the rest of its answer: the connection is reset, the run goes on";
          log("loses", id, what);
          reset(conn);
        }
        continue;
      }
      if conn.is_closed() {
        return Err(io::ErrorKind::ConnectionAborted.into());
      }
      let event = format!("id: {number}\ndata: {id} {number} of {events}\n\n");
      let bytes = if unframed {
        event
      } else {
        format!("{:x}\r\n{event}\r\n", event.len())
      };
      conn.write(&bytes)?;
      let tokens = prompt + number * TOKENS_PER_EVENT;
      self.state.lock().unwrap().runs.insert(id.to_owned(), (tokens, number));
    }
    if !unframed && !loses {
      conn.write("0\r\n\r\n")?;
    }
    Ok(())
  }

  fn report(&self, conn: &mut Conn) -> io::Result<()> {
    let state = self.state.lock().unwrap();
    let leaves = state.leaves_at.map(|at| at.saturating_duration_since(Instant::now()).as_millis());
    let leaves = leaves.map_or(String::new(), |ms| format!(",\"leaves_ms\":{ms}"));
    let used: u64 = state.runs.values().map(|(tokens, _)| tokens).sum();
    let body = format!(
      "{{\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\"busy\":false,\"sequence\":1,\
             \"waiting\":0,\"running\":{},\"kv_used_tokens\":{used},\"kv_capacity\":34201,\"request_handles\":0{leaves}}}",
      state.runs.len()
    );
    drop(state);
    respond(conn, "200 OK", "", &body)
  }

  /// Copies the memory of a run to another server; the answer comes when the copy is complete.
  fn copy(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let id = json_field(&body, "id").unwrap_or_default();
    let destination: SocketAddr = json_field(&body, "target").unwrap_or_default().parse().unwrap();
    let stops = json_field(&body, "stop_first").as_deref() == Some("true");
    let (free_at, handle) = {
      let mut state = self.state.lock().unwrap();
      let Some((tokens, _)) = state.runs.get(&id).copied() else {
        drop(state);
        return respond(conn, "404 Not Found", "", "{}");
      };
      let mut seconds =
        tokens as f64 * self.options.kv_bytes_per_token * 8.0 / (self.options.kv_mbps * 1e6);
      if self.zone_of(destination) != self.options.zone {
        seconds *= 2.0;
      }
      let now = Instant::now();
      let start = state.link_free_at.map_or(now, |at| at.max(now));
      let free_at = start + Duration::from_secs_f64(seconds);
      state.link_free_at = Some(free_at);
      state.handles += 1;
      (free_at, format!("{}c{}", self.options.id, state.handles))
    };
    log(
      "copies",
      &id,
      &format!(
        "to={destination} stop_first={stops} ms={}",
        free_at.saturating_duration_since(Instant::now()).as_millis()
      ),
    );
    thread::sleep(free_at.saturating_duration_since(Instant::now()));
    let Some((_, created)) = self.state.lock().unwrap().runs.get(&id).copied() else {
      log("copied", &id, "the run has ended");
      return respond(conn, "404 Not Found", "", "{}");
    };
    let path = format!("/stand-copy?handle={handle}&id={id}&created={created}");
    if net::call(destination, "POST", &path, "", Duration::from_secs(1)).is_err() {
      log("copied", &id, "the destination is gone");
      return respond(
        conn,
        "503 Service Unavailable",
        "",
        &format!("{{\"request_handle\":\"{handle}\"}}"),
      );
    }
    log(
      "copied",
      &id,
      &format!("to={destination} created={created}"),
    );
    respond(
      conn,
      "200 OK",
      "",
      &format!("{{\"request_handle\":\"{handle}\",\"created\":{created}}}"),
    )
  }

  /// Asks another server for its zone.
  fn zone_of(&self, server: SocketAddr) -> String {
    let answer = net::call(server, "GET", "/stand-zone", "", Duration::from_secs(1));
    answer.map_or(String::new(), |(_, zone)| zone)
  }

  fn take_copy(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
    let parameter = |name| request.parameter(name).unwrap_or_default();
    let copy = (parameter("id"), parameter("created").parse().unwrap_or(0));
    self.state.lock().unwrap().copies.insert(parameter("handle"), copy);
    respond(conn, "200 OK", "", "{}")
  }
}

/// Resets a connection: its end is not announced, and unread bytes are dropped.
fn reset(conn: &Conn) {
  use std::os::fd::AsRawFd;
  #[repr(C)]
  struct Linger {
    on: i32,
    seconds: i32,
  }
  unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
  }
  const SOL_SOCKET: i32 = 1;
  const SO_LINGER: i32 = 13;
  let linger = Linger { on: 1, seconds: 0 };
  let socket = conn.stream.as_raw_fd();
  // The descriptor is replaced, which closes the socket, while the run goes on.
  unsafe {
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, 8);
    dup2(1, socket);
  }
}
