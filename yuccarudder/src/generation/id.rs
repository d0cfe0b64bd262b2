use {
  serde::{Deserialize, Serialize},
  serde_with::{hex::Hex, serde_as},
  std::fmt,
};

/// The id of one run of a job on one engine, shown in lowercase hexadecimal.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Id(#[serde_as(as = "Hex")] pub [u8; 16]);

impl Id {
  /// Generates a random id.
  pub fn random() -> Self {
    Self(rand::random())
  }
}

impl fmt::Display for Id {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str(&base16ct::lower::encode_string(&self.0))
  }
}
