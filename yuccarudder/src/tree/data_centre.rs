use {
  super::{Level, Overrides, State},
  crate::yaml::Node,
};

/// A data centre, with its state and overrides.
#[derive(Clone, Debug)]
pub struct DataCentre {
  /// Its name.
  pub name: String,
  /// Settings overridden for its targets.
  pub overrides: Overrides,
  /// Whether its targets take new work.
  pub state: State,
}

impl DataCentre {
  pub(super) fn read(name: String, node: &Node<'_, '_>) -> Option<Self> {
    let mut map = node.map()?;
    let overrides = Overrides::read(map.get("overrides"), Level::DataCentre);
    let state = State::read(map.get("state"));
    map.finish();
    Some(Self {
      name,
      overrides: overrides?,
      state: state?,
    })
  }
}
