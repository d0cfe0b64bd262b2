use {
  super::{Level, Matcher, Overrides},
  crate::yaml::Node,
};

const KINDS: [(&str, Kind); 2] = [("engine", Kind::Engine), ("plain", Kind::Plain)];

/// What the targets of a service are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
  /// Model engines.
  Engine,
  /// Plain HTTP services.
  Plain,
}

/// What the engines of a service can do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capabilities {
  /// They refuse an order that carries an old fencing number.
  pub fencing: bool,
  /// They report whether they are in their cold start.
  pub reports_cold: bool,
  /// They resume a generation from a token index.
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

/// A service that callers may name.
#[derive(Clone, Debug)]
pub struct Service {
  /// What its targets are.
  pub kind: Kind,
  /// Its name.
  pub name: String,
  /// The knobs that it overrides.
  pub overrides: Overrides,
  /// The calls that may be repeated; all others run at most once.
  pub repeatable: Vec<Matcher>,
  /// What its engines can do.
  pub capabilities: Capabilities,
}

impl Service {
  /// Returns whether a call may be repeated.
  pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
    self.repeatable.iter().any(|call| call.covers(method, path))
  }

  /// Reads all but the targets, whose node is handed back.
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
