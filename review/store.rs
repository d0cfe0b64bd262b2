//! A stand-in of the platform's store: linearizable reads and watches over HTTP/1.1.

use crate::net::{Conn, Message, free_address, respond};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
  entries: BTreeMap<String, (u64, String)>,
  /// Revision, key and value of each change; no value for a removal.
  history: Vec<(u64, String, Option<String>)>,
  revision: u64,
}

#[derive(Clone)]
pub struct Store {
  pub address: SocketAddr,
  state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
  pub fn start() -> Self {
    let address = free_address();
    let listener = TcpListener::bind(address).unwrap();
    let store = Self {
      address,
      state: Arc::default(),
    };
    store.state.0.lock().unwrap().revision = 100;
    let server = store.clone();
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let store = server.clone();
        thread::spawn(move || {
          let mut conn = Conn::new(stream);
          while let Ok(Some(request)) = conn.read_request() {
            if store.answer(&mut conn, &request).is_err() {
              return;
            }
          }
        });
      }
    });
    store
  }

  /// Writes a value; the return is the acknowledgement.
  pub fn put(&self, key: &str, value: &str) {
    self.change(key, Some(base64(value.as_bytes())));
  }

  pub fn remove(&self, key: &str) {
    self.change(key, None);
  }

  fn change(&self, key: &str, value: Option<String>) {
    let mut state = self.state.0.lock().unwrap();
    state.revision += 1;
    let revision = state.revision;
    match &value {
      Some(value) => drop(state.entries.insert(key.into(), (revision, value.clone()))),
      None => drop(state.entries.remove(key)),
    }
    state.history.push((revision, key.into(), value));
    self.state.1.notify_all();
  }

  fn answer(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
    let prefix = request.parameter("path_prefix").unwrap_or_default();
    let after = request.parameter("after").unwrap_or_default();
    if request.target().starts_with("/kv-range") {
      let state = self.state.0.lock().unwrap();
      let entries = state.entries.iter();
      let entries = entries.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
      let entries: Vec<String> =
        entries.map(|(key, (revision, data))| item(key, *revision, Some(data))).collect();
      let body = format!(
        "{{\"entries\":[{}],\"has_more\":false,\"at\":{}}}",
        entries.join(","),
        state.revision
      );
      drop(state);
      return respond(conn, "200 OK", "", &body);
    }
    if request.target().starts_with("/kv-watch") {
      let after: u64 = after.parse().unwrap_or(0);
      let wait = request.parameter("wait_time_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
      let deadline = Instant::now() + Duration::from_millis(wait);
      let mut state = self.state.0.lock().unwrap();
      loop {
        let events = state
          .history
          .iter()
          .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
        let events: Vec<String> =
          events.map(|(revision, key, data)| item(key, *revision, data.as_ref())).collect();
        let left = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
          let body = format!(
            "{{\"events\":[{}],\"at\":{}}}",
            events.join(","),
            state.revision
          );
          drop(state);
          return respond(conn, "200 OK", "", &body);
        }
        state = self.state.1.wait_timeout(state, left).unwrap().0;
      }
    }
    respond(conn, "404 Not Found", "", "{}")
  }
}

fn item(key: &str, revision: u64, data: Option<&String>) -> String {
  match data {
    Some(data) => format!(
      "{{\"key\":\"{key}\",\"data\":\"{data}\",\"revision\":{revision},\"created\":{revision},\"lease_id\":0}}"
    ),
    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"expired\":true}}"),
  }
}

fn base64(bytes: &[u8]) -> String {
  const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  let mut out = String::new();
  for chunk in bytes.chunks(3) {
    let word =
      chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
    for index in 0..4 {
      if index <= chunk.len() {
        out.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char);
      } else {
        out.push('=');
      }
    }
  }
  out
}
