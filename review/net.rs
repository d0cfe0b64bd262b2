//! Small HTTP/1.1 helpers over blocking sockets, for the stand-ins and the clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Returns the milliseconds since the Unix epoch, so that several processes can be compared.
pub fn now_ms() -> f64 {
  let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
  now.unwrap().as_secs_f64() * 1000.0
}

/// Returns an unused loopback address, whose port is none that the system gives to outgoing connections.
pub fn free_address() -> SocketAddr {
  static NEXT: AtomicU32 = AtomicU32::new(0);
  loop {
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let port = 12_000 + (std::process::id() * 131 + count) % 18_000;
    let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
    if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
      return address;
    }
  }
}

/// A buffered connection.
pub struct Conn {
  pub stream: TcpStream,
  buffer: Vec<u8>,
}

/// The first line and the headers of a message, and a request's whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
  pub first: String,
  pub headers: Vec<(String, String)>,
  pub body: Vec<u8>,
}

impl Message {
  pub fn header(&self, name: &str) -> Option<&str> {
    let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
  }

  pub fn method(&self) -> &str {
    self.first.split(' ').next().unwrap_or_default()
  }

  pub fn target(&self) -> &str {
    self.first.split(' ').nth(1).unwrap_or_default()
  }

  pub fn status(&self) -> u16 {
    self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
  }

  /// Returns the decoded value of a parameter of the query.
  pub fn parameter(&self, name: &str) -> Option<String> {
    let (_, query) = self.target().split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| unescape(value)).next()
  }
}

fn unescape(text: &str) -> String {
  let bytes = text.as_bytes();
  let mut out = Vec::new();
  let mut at = 0;
  while at < bytes.len() {
    if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
      let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
      out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
      at += 3;
    } else {
      out.push(bytes[at]);
      at += 1;
    }
  }
  String::from_utf8_lossy(&out).into_owned()
}

impl Conn {
  pub fn new(stream: TcpStream) -> Self {
    let _ = stream.set_nodelay(true);
    Self {
      stream,
      buffer: Vec::new(),
    }
  }

  pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
    Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
  }

  /// Reads more bytes; returns false at the end of the connection.
  fn fill(&mut self) -> io::Result<bool> {
    let mut bytes = [0; 16384];
    let count = self.stream.read(&mut bytes)?;
    self.buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
  }

  /// Reads the head of a message; returns `None` at the end of the connection.
  pub fn read_head(&mut self) -> io::Result<Option<Message>> {
    loop {
      if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_lowercase(), value.trim().to_owned()));
        return Ok(Some(Message {
          first,
          headers: headers.collect(),
          body: Vec::new(),
        }));
      }
      if !self.fill()? {
        return Ok(None);
      }
    }
  }

  /// Reads a whole request.
  pub fn read_request(&mut self) -> io::Result<Option<Message>> {
    let Some(mut message) = self.read_head()? else {
      return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
      while let Some(chunk) = self.read_chunk()? {
        message.body.extend(chunk);
      }
      return Ok(Some(message));
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = self.read_exact(length)?;
    Ok(Some(message))
  }

  pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
    while self.buffer.len() < length {
      if !self.fill()? {
        return Err(io::ErrorKind::UnexpectedEof.into());
      }
    }
    Ok(self.buffer.drain(..length).collect())
  }

  /// Reads bytes up to the end of the connection; returns `None` there.
  pub fn read_some(&mut self) -> io::Result<Option<Vec<u8>>> {
    if self.buffer.is_empty() && !self.fill()? {
      return Ok(None);
    }
    Ok(Some(std::mem::take(&mut self.buffer)))
  }

  /// Reads a chunk; returns `None` after the last one.
  pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
    let line_end = loop {
      if let Some(end) = find(&self.buffer, b"\r\n") {
        break end;
      }
      if !self.fill()? {
        return Err(io::ErrorKind::UnexpectedEof.into());
      }
    };
    let line = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
    self.buffer.drain(..line_end + 2);
    let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut bytes = self.read_exact(size + 2)?;
    bytes.truncate(size);
    Ok((size > 0).then_some(bytes))
  }

  pub fn write(&mut self, text: &str) -> io::Result<()> {
    self.stream.write_all(text.as_bytes())
  }

  /// Returns whether the other side has closed the connection.
  pub fn is_closed(&mut self) -> bool {
    let _ = self.stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = self.stream.peek(&mut byte);
    let _ = self.stream.set_nonblocking(false);
    match peeked {
      Ok(count) => count == 0,
      Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
  }
}

pub fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
  bytes.windows(needle.len()).position(|window| window == needle)
}

/// Sends a JSON answer.
pub fn respond(conn: &mut Conn, status: &str, headers: &str, body: &str) -> io::Result<()> {
  conn.write(&format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    ))
}

/// Sends a small request and reads its whole answer.
pub fn call(
  address: SocketAddr,
  method: &str,
  path: &str,
  body: &str,
  timeout: Duration,
) -> io::Result<(u16, String)> {
  let mut conn = Conn::connect(address, timeout)?;
  conn.stream.set_read_timeout(Some(timeout))?;
  conn.write(&format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    ))?;
  let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
  let mut bytes = Vec::new();
  if head.header("transfer-encoding").is_some() {
    while let Some(chunk) = conn.read_chunk()? {
      bytes.extend(chunk);
    }
  } else if let Some(length) = head.header("content-length").and_then(|value| value.parse().ok()) {
    bytes = conn.read_exact(length)?;
  }
  Ok((head.status(), String::from_utf8_lossy(&bytes).into_owned()))
}

/// Returns the text of a field of a flat JSON object.
pub fn json_field(text: &str, name: &str) -> Option<String> {
  let start = text.find(&format!("\"{name}\""))? + name.len() + 2;
  let rest = text[start..].trim_start().strip_prefix(':')?.trim_start();
  if let Some(quoted) = rest.strip_prefix('"') {
    return Some(quoted.split('"').next()?.to_owned());
  }
  Some(rest.split([',', '}', ']']).next()?.trim().to_owned())
}
