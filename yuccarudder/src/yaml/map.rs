use {super::Node, saphyr::MarkedYaml};

/// A mapping whose unread keys are reported as unknown.
#[derive(Debug)]
pub struct Map<'a, 'b> {
  entries: Vec<(String, Node<'a, 'b>)>,
  node: Node<'a, 'b>,
  read: Vec<&'static str>,
}

impl<'a, 'b> Map<'a, 'b> {
  pub(super) fn empty(node: Node<'a, 'b>) -> Self {
    Self {
      entries: Vec::new(),
      node,
      read: Vec::new(),
    }
  }

  /// Consumes the mapping as free-form names and values.
  ///
  /// Names are 1 to 64 letters, digits, `-`, `_` or `.`; others are faults.
  pub fn entries(self) -> Vec<(String, Node<'a, 'b>)> {
    let (good, bad): (Vec<_>, Vec<_>) =
      self.entries.into_iter().partition(|(name, _)| is_name(name));
    for (name, node) in bad {
      node.fault(
        format!("the name `{name}`"),
        "1 to 64 letters, digits, `-`, `_` or `.`",
      );
    }
    good
  }

  /// Reports every key that was not read.
  pub fn finish(mut self) {
    self.read.sort_unstable();
    let allowed = self.read.join(", ");
    for (name, node) in &self.entries {
      if !self.read.contains(&name.as_str()) {
        node.fault(format!("the unknown key `{name}`"), allowed.clone());
      }
    }
  }

  /// Returns the value of an optional key.
  pub fn get(&mut self, key: &'static str) -> Option<Node<'a, 'b>> {
    self.read.push(key);
    self.entries.iter().find(|(name, _)| name == key).map(|(_, node)| node.clone())
  }

  pub(super) fn new<'c>(
    node: Node<'a, 'b>,
    entries: impl IntoIterator<Item = (&'a MarkedYaml<'b>, &'a MarkedYaml<'b>)> + 'c,
  ) -> Self {
    let entries = entries
      .into_iter()
      .filter_map(|(key, value)| {
        let name = node.child("", key).scalar_name()?;
        let child = node.child(&name, value);
        Some((name, child))
      })
      .collect();
    Self {
      entries,
      node,
      read: Vec::new(),
    }
  }

  /// Returns the value of a key that must be present.
  pub fn require(&mut self, key: &'static str, allowed: &str) -> Option<Node<'a, 'b>> {
    let value = self.get(key);
    if value.is_none() {
      self.node.fault(format!("no key `{key}`"), allowed);
    }
    value
  }
}

fn is_name(name: &str) -> bool {
  (1..=64).contains(&name.len())
    && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}
