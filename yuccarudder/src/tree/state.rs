use crate::yaml::Node;

const STATES: [(&str, State); 3] = [
  ("in", State::In),
  ("leaving", State::Leaving),
  ("out", State::Out),
];

/// Whether a data centre or a target takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
  /// Takes new work.
  #[default]
  In,
  /// Takes no new work and finishes its current work.
  Leaving,
  /// Takes no new work.
  Out,
}

impl State {
  pub(super) fn read(node: Option<Node<'_, '_>>) -> Option<Self> {
    node.map_or(Some(Self::In), |node| node.choice(&STATES))
  }
}
