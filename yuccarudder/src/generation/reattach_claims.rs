use {
  super::{Endpoint, Id},
  crate::{
    ticket::{Domain, sign, verify},
    tree::Secret,
  },
  bytes::Bytes,
  prost::Message,
  std::{net::SocketAddr, time::Duration},
};

/// The payload of a reattach token.
#[derive(Clone, PartialEq, Message)]
struct Payload {
  #[prost(string, tag = "1")]
  account: String,
  #[prost(uint64, tag = "2")]
  created_ms: u64,
  #[prost(uint64, tag = "3")]
  deadline_ms: u64,
  #[prost(bytes = "bytes", tag = "4")]
  generation: Bytes,
  #[prost(bool, tag = "5")]
  include_usage: bool,
  #[prost(string, tag = "6")]
  service: String,
  #[prost(bool, tag = "7")]
  text: bool,
  #[prost(string, tag = "8")]
  target: String,
}

/// The claims of a signed reattach token, which lets any host resume a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReattachClaims {
  /// Name of the client account that sent the request.
  pub account: String,
  /// Time at which the job was admitted, since the Unix epoch.
  pub created: Duration,
  /// Time by which the answer must be complete, since the Unix epoch.
  pub deadline: Duration,
  /// Id of the generation.
  pub generation: Id,
  /// Whether the stream ends with a usage event.
  pub include_usage: bool,
  /// Name of the service.
  pub service: String,
  /// The API endpoint that was called.
  pub endpoint: Endpoint,
  /// Address of the engine that runs the generation.
  pub target: SocketAddr,
}

impl ReattachClaims {
  /// Returns the claims of a token, or `None` if its signature or payload is invalid.
  pub fn verify(secrets: &[Secret], text: &str) -> Option<Self> {
    let payload: Payload = verify(secrets, Domain::Reattach, text)?;
    Some(Self {
      account: payload.account,
      created: Duration::from_millis(payload.created_ms),
      deadline: Duration::from_millis(payload.deadline_ms),
      generation: Id(payload.generation.as_ref().try_into().ok()?),
      include_usage: payload.include_usage,
      service: payload.service,
      endpoint: if payload.text {
        Endpoint::Text
      } else {
        Endpoint::Chat
      },
      target: payload.target.parse().ok()?,
    })
  }

  /// Returns a signed token, or `None` if there is no secret.
  pub fn sign(&self, secrets: &[Secret]) -> Option<String> {
    let payload = Payload {
      account: self.account.clone(),
      created_ms: to_millis(self.created),
      deadline_ms: to_millis(self.deadline),
      generation: Bytes::copy_from_slice(&self.generation.0),
      include_usage: self.include_usage,
      service: self.service.clone(),
      target: self.target.to_string(),
      text: self.endpoint == Endpoint::Text,
    };
    sign(secrets, Domain::Reattach, &payload)
  }
}

fn to_millis(duration: Duration) -> u64 {
  u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
