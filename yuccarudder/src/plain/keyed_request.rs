use {
  crate::{limit::BufferedBody, once, ticket::Ticket},
  hyper::{HeaderMap, Method, Uri},
  sha2::{Digest, Sha256},
};

/// A request with an idempotency key, which its home host executes at most once.
#[derive(Debug)]
pub struct KeyedRequest {
  /// The buffered body of the request.
  pub body: BufferedBody,
  /// The headers of the request, as prepared by `strip_request`.
  pub headers: HeaderMap,
  /// The idempotency key.
  pub key: once::Key,
  /// The method of the request.
  pub method: Method,
  /// The name of the service.
  pub service: String,
  /// The ticket that names the key's home host.
  pub ticket: Ticket,
  /// The path and query to request from the target.
  pub uri: Uri,
}

impl KeyedRequest {
  /// Returns a digest of the service, method, URI and body, to detect a key that is used
  /// again with a different request.
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
