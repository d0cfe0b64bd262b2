use {
  crate::{limit::BufferedBody, once, ticket::Ticket},
  hyper::{HeaderMap, Method, Uri},
  sha2::{Digest, Sha256},
};

/// A call that runs at most once, with all that its home needs.
#[derive(Debug)]
pub struct Keyed {
  /// The body of the request.
  pub body: BufferedBody,
  /// The headers of the request, ready for a target.
  pub headers: HeaderMap,
  /// The key.
  pub key: once::Key,
  /// The method.
  pub method: Method,
  /// The name of the service.
  pub service: String,
  /// The ticket that names the home.
  pub ticket: Ticket,
  /// The path and query at the target.
  pub uri: Uri,
}

impl Keyed {
  /// Returns a digest that tells the requests of one key apart.
  pub fn fingerprint(&self) -> [u8; 32] {
    let mut digest = Sha256::new();
    for part in [
      self.service.as_str(),
      self.method.as_str(),
      &self.uri.to_string(),
    ] {
      digest.update(part.len().to_le_bytes());
      digest.update(part);
    }
    digest.update(&self.body.bytes);
    digest.finalize().into()
  }
}
