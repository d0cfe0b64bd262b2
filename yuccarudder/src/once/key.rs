use std::sync::Arc;

/// An idempotency key, which identifies one request of one client account.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
  /// The name of the client account.
  pub account: Arc<str>,
  /// The value of the caller's `Idempotency-Key` header.
  pub nonce: Arc<str>,
  /// The `id` of the ticket that came with the request.
  pub ticket_id: u64,
}
