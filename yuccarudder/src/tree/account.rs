use {
  super::{Level, Overrides},
  crate::yaml::Node,
  sha2::{Digest, Sha256},
};

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
  /// SHA-256 digests of its bearer credentials, any of which authenticates it.
  pub credentials: Vec<[u8; 32]>,
  /// Its name.
  pub name: String,
  /// Settings overridden for its requests.
  pub overrides: Overrides,
}

impl Account {
  /// Returns the SHA-256 digest that stands for a bearer credential in the settings tree.
  pub fn digest(credential: &str) -> [u8; 32] {
    Sha256::digest(credential.as_bytes()).into()
  }

  pub(super) fn read(name: String, node: &Node<'_, '_>) -> Option<Self> {
    let mut map = node.map()?;
    let credentials = map
      .require("credentials", "a list of SHA-256 digests")
      .and_then(|node| node.list())
      .map(|items| items.iter().filter_map(read_digest).collect());
    let overrides = Overrides::read(map.get("overrides"), Level::Account);
    map.finish();
    Some(Self {
      credentials: credentials?,
      name,
      overrides: overrides?,
    })
  }
}

fn read_digest(node: &Node<'_, '_>) -> Option<[u8; 32]> {
  node.parse(
    "the SHA-256 digest of a credential as 64 hexadecimal digits",
    |text| {
      let mut digest = [0; 32];
      base16ct::mixed::decode(text, &mut digest).ok()?;
      (text.len() == 64).then_some(digest)
    },
  )
}
