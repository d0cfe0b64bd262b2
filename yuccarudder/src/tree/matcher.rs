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

/// A pattern that matches requests by method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Matcher {
  /// HTTP method, which must be equal.
  pub method: &'static str,
  /// Leading segments of the path.
  pub path: String,
}

impl Matcher {
  /// Returns whether a request matches.
  ///
  /// A path matches itself and every path below it.
  pub fn matches(&self, method: &str, path: &str) -> bool {
    let is_at_or_below = path
      .strip_prefix(self.path.trim_end_matches('/'))
      .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    self.method == method && is_at_or_below
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
