use {
  crate::tree::Secret,
  base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
  hmac::{Hmac, KeyInit, Mac},
  prost::Message,
  sha2::Sha256,
};

/// The purpose of a signed value; a value signed for one purpose is not valid for another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Domain {
  /// Authentication of a connection between hosts.
  Peer,
  /// Token that permits its bearer to reattach to a generation.
  Reattach,
  /// Ticket that names the home host of a caller's idempotency keys.
  Ticket,
}

impl Domain {
  /// Returns the prefix that is signed with each value of the domain.
  fn label(self) -> &'static [u8] {
    match self {
      Self::Peer => b"yuccarudder peer 1\0",
      Self::Reattach => b"yuccarudder reattach 1\0",
      Self::Ticket => b"yuccarudder ticket 1\0",
    }
  }
}

/// Computes the HMAC-SHA-256 of a domain and `bytes` under a secret.
pub fn mac(secret: &Secret, domain: Domain, bytes: &[u8]) -> Hmac<Sha256> {
  let mut mac =
    Hmac::<Sha256>::new_from_slice(&secret.bytes).expect("HMAC accepts keys of any length");
  mac.update(domain.label());
  mac.update(bytes);
  mac
}

/// Signs a message with the first secret, as `id.payload.signature`.
///
/// `id` identifies the secret; the payload and the signature are in URL-safe base64.
/// Returns `None` if there is no secret.
pub fn sign(secrets: &[Secret], domain: Domain, message: &impl Message) -> Option<String> {
  let secret = secrets.first()?;
  let payload = message.encode_to_vec();
  let signature = mac(secret, domain, &payload).finalize().into_bytes();
  Some(format!(
    "{}.{}.{}",
    secret.id,
    URL_SAFE_NO_PAD.encode(&payload),
    URL_SAFE_NO_PAD.encode(signature)
  ))
}

/// Decodes a signed message; returns `None` unless one of the secrets signed it for `domain`.
pub fn verify<T: Message + Default>(secrets: &[Secret], domain: Domain, text: &str) -> Option<T> {
  let mut parts = text.split('.');
  let (id, payload, signature) = (parts.next()?, parts.next()?, parts.next()?);
  if parts.next().is_some() {
    return None;
  }
  let secret = secrets.iter().find(|secret| secret.id == id)?;
  let payload = URL_SAFE_NO_PAD.decode(payload).ok()?;
  let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
  mac(secret, domain, &payload).verify_slice(&signature).ok()?;
  T::decode(payload.as_slice()).ok()
}
