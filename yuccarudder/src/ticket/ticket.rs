use {
  super::{Domain, sign, verify},
  crate::tree::Secret,
  prost::Message,
  std::{net::SocketAddr, time::Duration},
};

/// The encoded form of a ticket.
#[derive(Clone, PartialEq, Message)]
struct Payload {
  #[prost(uint64, tag = "3")]
  expires_ms: u64,
  #[prost(string, tag = "1")]
  home: String,
  #[prost(fixed64, tag = "4")]
  id: u64,
  #[prost(fixed64, tag = "2")]
  incarnation: u64,
}

/// A statement of which host is the home of a caller's idempotency keys.
///
/// The home is the host that issued the ticket. It is the only process that may dispatch requests
/// with these keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
  /// When the ticket expires, as the time since the home's process started.
  ///
  /// Only the home evaluates it, so it depends on no wall clock.
  pub expires_after_start: Duration,
  /// The address at which the home accepts callers.
  pub home: SocketAddr,
  /// A random number that distinguishes the tickets of one home.
  pub id: u64,
  /// A random number that identifies the home's process, which loses its keys when it restarts.
  pub incarnation: u64,
}

impl Ticket {
  /// Decodes a caller's ticket; returns `None` unless one of the secrets signed it.
  pub fn verify(secrets: &[Secret], text: &str) -> Option<Self> {
    let payload: Payload = verify(secrets, Domain::Ticket, text)?;
    Some(Self {
      expires_after_start: Duration::from_millis(payload.expires_ms),
      home: payload.home.parse().ok()?,
      id: payload.id,
      incarnation: payload.incarnation,
    })
  }

  /// Signs the ticket with the first secret; returns `None` if there is none.
  pub fn sign(&self, secrets: &[Secret]) -> Option<String> {
    let payload = Payload {
      expires_ms: u64::try_from(self.expires_after_start.as_millis()).unwrap_or(u64::MAX),
      home: self.home.to_string(),
      id: self.id,
      incarnation: self.incarnation,
    };
    sign(secrets, Domain::Ticket, &payload)
  }
}
