use {
  anyhow::{Context, bail},
  bytes::Bytes,
  hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
  },
  prost::{Message as _, Oneof},
};

/// The first message of each side of the handshake.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
  /// The identifier of the secret for the authentication codes.
  #[prost(string, tag = "6")]
  pub key: String,
  /// The address at which the host accepts callers, which identifies it.
  #[prost(string, tag = "1")]
  pub host: String,
  /// The incarnation of the host's process.
  #[prost(fixed64, tag = "2")]
  pub incarnation: u64,
  /// Random bytes that the other side's authentication code must cover, against replay.
  #[prost(bytes = "bytes", tag = "3")]
  pub nonce: Bytes,
  /// The purpose of the connection, as `handshake::Purpose` encodes it.
  #[prost(uint32, tag = "4")]
  pub purpose: u32,
  /// The highest protocol version that the host supports.
  #[prost(uint32, tag = "5")]
  pub version: u32,
  /// The lowest protocol version that the host supports.
  #[prost(uint32, tag = "7")]
  pub version_min: u32,
}

/// The proof that a side knows the shared secret.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
  /// An HMAC over the role of the side and both hello messages.
  #[prost(bytes = "bytes", tag = "1")]
  pub code: Bytes,
}

/// One HTTP header.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Header {
  /// The name.
  #[prost(string, tag = "1")]
  pub name: String,
  /// The value.
  #[prost(bytes = "bytes", tag = "2")]
  pub value: Bytes,
}

/// The head of a forwarded call; the request body follows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
  /// The name of the client account.
  #[prost(string, tag = "1")]
  pub account: String,
  /// The length of the body in bytes.
  #[prost(uint64, tag = "8")]
  pub body_bytes: u64,
  /// The headers to send to the target.
  #[prost(message, repeated, tag = "2")]
  pub headers: Vec<Header>,
  /// The HTTP method.
  #[prost(string, tag = "3")]
  pub method: String,
  /// The caller's part of the idempotency key, unique within the ticket.
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

/// The head of a response; the response body follows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Head {
  /// The headers to send to the caller.
  #[prost(message, repeated, tag = "1")]
  pub headers: Vec<Header>,
  /// The HTTP status code.
  #[prost(uint32, tag = "2")]
  pub status: u32,
}

/// A refusal, sent in place of a response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
  /// Details for a person; may be empty.
  #[prost(string, tag = "1")]
  pub detail: String,
  /// What is known about whether a target executed the request, as `refusal::Execution` names it.
  #[prost(string, tag = "2")]
  pub ran: String,
  /// The reason, as `refusal::Reason` names it.
  #[prost(string, tag = "3")]
  pub reason: String,
  /// The retry time suggested to the caller, in milliseconds.
  #[prost(uint64, optional, tag = "4")]
  pub retry_after_ms: Option<u64>,
}

/// The end of a body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {}

/// The content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
  /// The head of a forwarded call.
  #[prost(message, tag = "3")]
  Call(Call),
  /// A chunk of a body.
  #[prost(bytes = "bytes", tag = "4")]
  Data(Bytes),
  /// The end of a body.
  #[prost(message, tag = "5")]
  End(End),
  /// The head of a response.
  #[prost(message, tag = "6")]
  Head(Head),
  /// The first message of each side of the handshake.
  #[prost(message, tag = "1")]
  Hello(Hello),
  /// The second message of each side of the handshake.
  #[prost(message, tag = "2")]
  Proof(Proof),
  /// A refusal, sent in place of a response.
  #[prost(message, tag = "7")]
  Refused(Refused),
}

/// One frame of a connection between hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
  /// The content; `None` if a newer release sent a message that this one does not know.
  #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7")]
  pub message: Option<Message>,
}

impl Frame {
  /// Decodes a frame.
  ///
  /// # Errors
  ///
  /// Fails when the bytes are not a frame or the frame contains an unknown message.
  pub fn decode_message(bytes: &[u8]) -> anyhow::Result<Message> {
    let frame = Self::decode(bytes).context("cannot decode a frame")?;
    frame.message.context("a frame contains an unknown message")
  }

  /// Encodes a message as a frame.
  pub fn encode_message(message: Message) -> Bytes {
    let frame = Self {
      message: Some(message),
    };
    frame.encode_to_vec().into()
  }
}

/// Encodes HTTP headers for a message.
pub fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
  let headers = headers.iter().map(|(name, value)| Header {
    name: name.as_str().into(),
    value: Bytes::copy_from_slice(value.as_bytes()),
  });
  headers.collect()
}

/// Decodes the HTTP headers of a message.
///
/// # Errors
///
/// Fails on a name or value that is not valid in HTTP.
pub fn decode_headers(headers: &[Header]) -> anyhow::Result<HeaderMap> {
  let mut map = HeaderMap::new();
  for header in headers {
    let name = HeaderName::from_bytes(header.name.as_bytes())?;
    let Ok(value) = HeaderValue::from_bytes(&header.value) else {
      bail!("the value of the header {name} is not valid");
    };
    map.append(name, value);
  }
  Ok(map)
}
