use {super::Feature, std::time::Instant};

/// A run that ended because its target crashed before or shortly after it began to answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
  /// When the host that had sent the request noticed it.
  pub at: Instant,
  /// What the request may have in common with others; empty if it had been answered soundly.
  pub features: Vec<Feature>,
  /// When the request was sent to the target.
  pub sent_at: Instant,
  /// Hash of the name of the service that the target belongs to.
  pub service: u64,
  /// Fingerprint of the target, which identifies its process.
  pub target: u64,
}
