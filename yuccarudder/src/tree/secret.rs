use {
  crate::yaml::Node,
  base64::{Engine, engine::general_purpose::STANDARD},
  std::fmt,
};

const MIN_SECRET_BYTES: usize = 32;

/// A key that the hosts share to sign tickets and to authenticate each other.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret {
  /// The key itself, which is secret.
  pub bytes: Vec<u8>,
  /// Identifier of the key, which is not secret.
  pub id: String,
}

impl Secret {
  pub(crate) fn read(node: &Node<'_, '_>) -> Option<Self> {
    let mut map = node.map()?;
    let id = map.require("id", "a name").and_then(|node| {
      node.parse("1 to 32 letters, digits, `-` or `_`", |text| {
        let is_valid = (1..=32).contains(&text.len())
          && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte));
        is_valid.then(|| text.to_owned())
      })
    });
    let bytes = map.require("secret", "base64").and_then(|node| {
      // The fault doesn't contain the value, as it is secret.
      let bytes =
        STANDARD.decode(node.string()?).ok().filter(|bytes| bytes.len() >= MIN_SECRET_BYTES);
      if bytes.is_none() {
        node.fault("an invalid secret", "at least 32 bytes as base64");
      }
      bytes
    });
    map.finish();
    Some(Self {
      bytes: bytes?,
      id: id?,
    })
  }
}

impl fmt::Debug for Secret {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "Secret({})", self.id)
  }
}
