use {super::Feature, std::time::Instant};

/// The last known sound answer to a request with a feature.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sound {
  /// When the target began to answer.
  pub began_at: Instant,
  /// The feature.
  pub feature: Feature,
}
