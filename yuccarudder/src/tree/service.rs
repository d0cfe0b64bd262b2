use {
  super::{Level, Matcher, Overrides},
  crate::yaml::Node,
};

const KINDS: [(&str, Kind); 2] = [("engine", Kind::Engine), ("plain", Kind::Plain)];

/// The kind of the targets of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
  /// Engines that generate tokens.
  Engine,
  /// Plain HTTP services.
  Plain,
}

/// Optional features that all engines of a service support.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capabilities {
  /// Engines refuse a request with an outdated fencing token.
  pub fencing: bool,
  /// Engines report whether they are in their cold start.
  pub reports_cold: bool,
  /// Engines can resume a generation from a token index.
  pub resume: bool,
}

impl Capabilities {
  fn read(node: Option<Node<'_, '_>>) -> Option<Self> {
    let Some(node) = node else {
      return Some(Self::default());
    };
    let mut map = node.map()?;
    let fencing = map.get("fencing").map_or(Some(false), |node| node.boolean());
    let reports_cold = map.get("reports_cold").map_or(Some(false), |node| node.boolean());
    let resume = map.get("resume").map_or(Some(false), |node| node.boolean());
    map.finish();
    Some(Self {
      fencing: fencing?,
      reports_cold: reports_cold?,
      resume: resume?,
    })
  }
}

/// A service to which callers may send requests.
#[derive(Clone, Debug)]
pub struct Service {
  /// Kind of its targets.
  pub kind: Kind,
  /// Its name.
  pub name: String,
  /// Settings overridden for its requests.
  pub overrides: Overrides,
  /// Requests that may be repeated; all others run at most once.
  pub repeatable: Vec<Matcher>,
  /// Optional features that its engines support.
  pub capabilities: Capabilities,
}

impl Service {
  /// Returns whether a request may be repeated.
  pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
    self.repeatable.iter().any(|matcher| matcher.matches(method, path))
  }

  /// Reads a service, except for its targets, whose node is returned.
  ///
  /// Targets refer to the key of the service, which it gets when it is added to the tree.
  pub(super) fn read<'a, 'b>(
    name: String,
    node: &Node<'a, 'b>,
  ) -> Option<(Self, Option<Node<'a, 'b>>)> {
    let mut map = node.map()?;
    let kind = map.require("kind", "engine, plain").and_then(|node| node.choice(&KINDS));
    let overrides = Overrides::read(map.get("overrides"), Level::Service);
    let repeatable = map.get("repeatable").map_or(Some(Vec::new()), |node| {
      Some(node.list()?.iter().filter_map(Matcher::read).collect())
    });
    let targets = map.get("targets");
    let capabilities = Capabilities::read(map.get("traits"));
    map.finish();
    let service = Self {
      kind: kind?,
      name,
      overrides: overrides?,
      repeatable: repeatable?,
      capabilities: capabilities?,
    };
    Some((service, targets))
  }
}
