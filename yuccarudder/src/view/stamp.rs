use {
  serde::{Deserialize, Serialize},
  serde_with::{DurationMilliSeconds, serde_as},
  std::time::Duration,
};

/// What one host tells another of one published key.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyDigest {
  /// Time since the newest revision seen was known to be the published one.
  #[serde(rename = "age_ms")]
  #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
  pub age: Option<Duration>,
  /// Revision in force, zero before the first.
  pub in_force: u64,
  /// Newest revision seen.
  pub seen: u64,
}

/// What one host tells another of all published keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
  /// The list of hosts.
  pub hosts: KeyDigest,
  /// The settings tree.
  pub settings: KeyDigest,
}
