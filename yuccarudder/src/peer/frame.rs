use {
  anyhow::{Context, bail},
  bytes::Bytes,
  hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
  },
  prost::{Message as _, Oneof},
};

/// Introduces one side of a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
  /// The key that the code will be made with.
  #[prost(string, tag = "6")]
  pub key: String,
  /// Address for callers of the host.
  #[prost(string, tag = "1")]
  pub host: String,
  /// The incarnation of its process.
  #[prost(fixed64, tag = "2")]
  pub incarnation: u64,
  /// Random bytes that the other side's code must cover.
  #[prost(bytes = "bytes", tag = "3")]
  pub nonce: Bytes,
  /// What the connection is for.
  #[prost(uint32, tag = "4")]
  pub purpose: u32,
  /// Highest protocol version spoken.
  #[prost(uint32, tag = "5")]
  pub version: u32,
  /// Lowest protocol version spoken.
  #[prost(uint32, tag = "7")]
  pub version_min: u32,
}

/// Proves that a side holds a key of the settings tree.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
  /// The authentication code.
  #[prost(bytes = "bytes", tag = "1")]
  pub code: Bytes,
}

/// One HTTP header.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Header {
  /// Its name.
  #[prost(string, tag = "1")]
  pub name: String,
  /// Its value.
  #[prost(bytes = "bytes", tag = "2")]
  pub value: Bytes,
}

/// Opens a forwarded call; its body follows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
  /// The name of the account.
  #[prost(string, tag = "1")]
  pub account: String,
  /// Number of bytes of the body that follows.
  #[prost(uint64, tag = "8")]
  pub body_bytes: u64,
  /// The headers, ready for a target.
  #[prost(message, repeated, tag = "2")]
  pub headers: Vec<Header>,
  /// The HTTP method.
  #[prost(string, tag = "3")]
  pub method: String,
  /// What the caller added to its ticket.
  #[prost(string, tag = "4")]
  pub nonce: String,
  /// The name of the service.
  #[prost(string, tag = "5")]
  pub service: String,
  /// The signed ticket.
  #[prost(string, tag = "6")]
  pub ticket: String,
  /// The path and query at the target.
  #[prost(string, tag = "7")]
  pub uri: String,
}

/// Opens an answer; its body follows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Head {
  /// The headers, ready for the caller.
  #[prost(message, repeated, tag = "1")]
  pub headers: Vec<Header>,
  /// The HTTP status.
  #[prost(uint32, tag = "2")]
  pub status: u32,
}

/// Ends a call without an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
  /// What happened.
  #[prost(string, tag = "1")]
  pub detail: String,
  /// Whether the job ran.
  #[prost(string, tag = "2")]
  pub ran: String,
  /// Why.
  #[prost(string, tag = "3")]
  pub reason: String,
  /// When to try again, in milliseconds.
  #[prost(uint64, optional, tag = "4")]
  pub retry_after_ms: Option<u64>,
}

/// Ends a body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {}

/// What a frame holds.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
  /// Opens a forwarded call.
  #[prost(message, tag = "3")]
  Call(Call),
  /// A part of a body.
  #[prost(bytes = "bytes", tag = "4")]
  Data(Bytes),
  /// Ends a body.
  #[prost(message, tag = "5")]
  End(End),
  /// Opens an answer.
  #[prost(message, tag = "6")]
  Head(Head),
  /// Introduces one side.
  #[prost(message, tag = "1")]
  Hello(Hello),
  /// Proves one side.
  #[prost(message, tag = "2")]
  Proof(Proof),
  /// Ends a call without an answer.
  #[prost(message, tag = "7")]
  Refused(Refused),
}

/// One frame of a connection between hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
  /// What it holds; absent when a newer release sent something unknown here.
  #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7")]
  pub message: Option<Message>,
}

impl Frame {
  /// Decodes a frame.
  ///
  /// # Errors
  ///
  /// Fails when the bytes are not a frame or hold an unknown message.
  pub fn decode_message(bytes: &[u8]) -> anyhow::Result<Message> {
    let frame = Self::decode(bytes).context("a frame cannot be decoded")?;
    frame.message.context("a frame holds an unknown message")
  }

  /// Encodes a message as a frame.
  pub fn encode_message(message: Message) -> Bytes {
    let frame = Self {
      message: Some(message),
    };
    frame.encode_to_vec().into()
  }
}

/// Turns HTTP headers into their wire form.
pub fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
  let headers = headers.iter().map(|(name, value)| Header {
    name: name.as_str().into(),
    value: Bytes::copy_from_slice(value.as_bytes()),
  });
  headers.collect()
}

/// Reads HTTP headers from their wire form.
///
/// # Errors
///
/// Fails on a name or value that HTTP does not allow.
pub fn decode_headers(headers: &[Header]) -> anyhow::Result<HeaderMap> {
  let mut map = HeaderMap::new();
  for header in headers {
    let name = HeaderName::from_bytes(header.name.as_bytes())?;
    let Ok(value) = HeaderValue::from_bytes(&header.value) else {
      bail!("the value of the header {name} is not allowed");
    };
    map.append(name, value);
  }
  Ok(map)
}
