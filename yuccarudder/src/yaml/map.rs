use {super::Node, saphyr::MarkedYaml};

/// A mapping that records which keys were read, to report all others as unknown.
#[derive(Debug)]
pub struct Map<'a, 'b> {
  entries: Vec<(String, Node<'a, 'b>)>,
  node: Node<'a, 'b>,
  read_keys: Vec<&'static str>,
}

impl<'a, 'b> Map<'a, 'b> {
  pub(super) fn empty(node: Node<'a, 'b>) -> Self {
    Self {
      entries: Vec::new(),
      node,
      read_keys: Vec::new(),
    }
  }

  /// Returns the entries of a mapping whose keys are names that the user chooses.
  ///
  /// Names are 1 to 64 letters, digits, `-`, `_` or `.`; entries with other names are reported
  /// as faults and left out.
  pub fn entries(self) -> Vec<(String, Node<'a, 'b>)> {
    let (valid, invalid): (Vec<_>, Vec<_>) =
      self.entries.into_iter().partition(|(name, _)| is_valid_name(name));
    for (name, node) in invalid {
      node.fault(
        format!("the invalid name `{name}`"),
        "1 to 64 letters, digits, `-`, `_` or `.`",
      );
    }
    valid
  }

  /// Reports a fault for every key that was not read.
  pub fn finish(mut self) {
    self.read_keys.sort_unstable();
    let allowed = self.read_keys.join(", ");
    for (name, node) in &self.entries {
      if !self.read_keys.contains(&name.as_str()) {
        node.fault(format!("the unknown key `{name}`"), allowed.clone());
      }
    }
  }

  /// Returns the value of an optional key, if present.
  pub fn get(&mut self, key: &'static str) -> Option<Node<'a, 'b>> {
    self.read_keys.push(key);
    self.entries.iter().find(|(name, _)| name == key).map(|(_, node)| node.clone())
  }

  pub(super) fn new<'c>(
    node: Node<'a, 'b>,
    entries: impl IntoIterator<Item = (&'a MarkedYaml<'b>, &'a MarkedYaml<'b>)> + 'c,
  ) -> Self {
    let entries = entries
      .into_iter()
      .filter_map(|(key, value)| {
        let name = node.child("", key).key_name()?;
        let child = node.child(&name, value);
        Some((name, child))
      })
      .collect();
    Self {
      entries,
      node,
      read_keys: Vec::new(),
    }
  }

  /// Returns the value of a required key, or reports a fault if it is missing.
  pub fn require(&mut self, key: &'static str, allowed: &str) -> Option<Node<'a, 'b>> {
    let value = self.get(key);
    if value.is_none() {
      self.node.fault(format!("no key `{key}`"), allowed);
    }
    value
  }
}

fn is_valid_name(name: &str) -> bool {
  (1..=64).contains(&name.len())
    && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}
