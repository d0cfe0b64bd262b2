use std::sync::Arc;

/// Names one job of one client account.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
  /// The name of the account.
  pub account: Arc<str>,
  /// What the caller added to its ticket.
  pub nonce: Arc<str>,
  /// The ticket.
  pub ticket_id: u64,
}
