use std::time::Instant;

/// A target that crashed before or shortly after it began to answer a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
  /// When the host that had sent the request noticed it.
  pub at: Instant,
  /// The prompt parts that the request shares with others.
  pub parts: Vec<u64>,
  /// Fingerprint of the target, which identifies its process.
  pub target: u64,
}
