use {
  serde::{Deserialize, Serialize},
  serde_with::{DurationMilliSeconds, serde_as},
  std::time::Duration,
};

/// Revisions and age of one published key, as one host reports them to another.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyDigest {
  /// Time since `seen` was last known to be the published revision.
  #[serde(rename = "age_ms")]
  #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
  pub age: Option<Duration>,
  /// The revision in force; 0 if no document was accepted yet.
  pub in_force: u64,
  /// The newest revision seen, whether it was accepted or refused.
  pub seen: u64,
}

/// Digests of all published keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
  /// The list of hosts.
  pub hosts: KeyDigest,
  /// The settings tree.
  pub settings: KeyDigest,
}
