use {
  super::{Id, Shape},
  crate::{
    ticket::{Domain, sign, verify},
    tree::Secret,
  },
  bytes::Bytes,
  prost::Message,
  std::{net::SocketAddr, time::Duration},
};

#[derive(Clone, PartialEq, Message)]
struct Wire {
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

/// What a signed reattach token says of a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attachment {
  /// The name of the account that asked.
  pub account: String,
  /// When the job was let in, since the Unix epoch.
  pub created: Duration,
  /// When the answer must be whole, since the Unix epoch.
  pub deadline: Duration,
  /// The generation.
  pub generation: Id,
  /// Whether a streamed answer ends with usage counts.
  pub include_usage: bool,
  /// The name of the service.
  pub service: String,
  /// Which call was made.
  pub shape: Shape,
  /// Where its engine listens.
  pub target: SocketAddr,
}

impl Attachment {
  /// Reads a token that a caller presents.
  pub fn open(secrets: &[Secret], text: &str) -> Option<Self> {
    let wire: Wire = verify(secrets, Domain::Reattach, text)?;
    Some(Self {
      account: wire.account,
      created: Duration::from_millis(wire.created_ms),
      deadline: Duration::from_millis(wire.deadline_ms),
      generation: Id(wire.generation.as_ref().try_into().ok()?),
      include_usage: wire.include_usage,
      service: wire.service,
      shape: if wire.text { Shape::Text } else { Shape::Chat },
      target: wire.target.parse().ok()?,
    })
  }

  /// Signs the token.
  pub fn seal(&self, secrets: &[Secret]) -> Option<String> {
    let wire = Wire {
      account: self.account.clone(),
      created_ms: ms(self.created),
      deadline_ms: ms(self.deadline),
      generation: Bytes::copy_from_slice(&self.generation.0),
      include_usage: self.include_usage,
      service: self.service.clone(),
      target: self.target.to_string(),
      text: self.shape == Shape::Text,
    };
    sign(secrets, Domain::Reattach, &wire)
  }
}

fn ms(duration: Duration) -> u64 {
  u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
