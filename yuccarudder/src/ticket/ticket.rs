use {
  super::{Domain, sign, verify},
  crate::tree::Secret,
  prost::Message,
  std::{net::SocketAddr, time::Duration},
};

#[derive(Clone, PartialEq, Message)]
struct Wire {
  #[prost(uint64, tag = "3")]
  expires_ms: u64,
  #[prost(string, tag = "1")]
  home: String,
  #[prost(fixed64, tag = "4")]
  id: u64,
  #[prost(fixed64, tag = "2")]
  incarnation: u64,
}

/// Names the one process that may dispatch the keys of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
  /// When it expires, as time since the home's process started.
  ///
  /// Only the home reads it, so no wall clock is involved.
  pub expires_after_start: Duration,
  /// Address for callers of the home.
  pub home: SocketAddr,
  /// Distinguishes tickets of one home.
  pub id: u64,
  /// The incarnation of the home's process.
  pub incarnation: u64,
}

impl Ticket {
  /// Reads a ticket that a caller presents.
  pub fn verify(secrets: &[Secret], text: &str) -> Option<Self> {
    let wire: Wire = verify(secrets, Domain::Ticket, text)?;
    Some(Self {
      expires_after_start: Duration::from_millis(wire.expires_ms),
      home: wire.home.parse().ok()?,
      id: wire.id,
      incarnation: wire.incarnation,
    })
  }

  /// Signs the ticket.
  pub fn sign(&self, secrets: &[Secret]) -> Option<String> {
    let wire = Wire {
      expires_ms: u64::try_from(self.expires_after_start.as_millis()).unwrap_or(u64::MAX),
      home: self.home.to_string(),
      id: self.id,
      incarnation: self.incarnation,
    };
    sign(secrets, Domain::Ticket, &wire)
  }
}
