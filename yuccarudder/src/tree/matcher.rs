use crate::yaml::Node;

const METHODS: [(&str, &str); 7] = [
  ("DELETE", "DELETE"),
  ("GET", "GET"),
  ("HEAD", "HEAD"),
  ("OPTIONS", "OPTIONS"),
  ("PATCH", "PATCH"),
  ("POST", "POST"),
  ("PUT", "PUT"),
];

/// Calls of a plain service that may be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Matcher {
  /// The HTTP method.
  pub method: &'static str,
  /// The start of the path.
  pub path: String,
}

impl Matcher {
  /// Returns whether the call covers a request.
  ///
  /// A path covers itself and everything below it.
  pub fn covers(&self, method: &str, path: &str) -> bool {
    let below = path
      .strip_prefix(self.path.trim_end_matches('/'))
      .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    self.method == method && below
  }

  pub(super) fn read(node: &Node<'_, '_>) -> Option<Self> {
    let mut map = node.map()?;
    let method = map.require("method", "an HTTP method").and_then(|node| node.choice(&METHODS));
    let path = map.require("path", "a path").and_then(|node| {
      node.parse("a path that starts with `/`", |text| {
        text.starts_with('/').then(|| text.to_owned())
      })
    });
    map.finish();
    Some(Self {
      method: method?,
      path: path?,
    })
  }
}
