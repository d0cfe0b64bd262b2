use {
  crate::{placement::Load, routing::Engine},
  std::{net::SocketAddr, time::Duration},
};

/// Time that one copy takes besides its transfer: the call and the set-up of the link.
const COPY_OVERHEAD: Duration = Duration::from_millis(6);

/// When the runs of one host are copied from an engine that leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Turn {
  /// Wait before the first copy.
  pub after: Duration,
}

/// Plans when this host copies its runs from an engine.
///
/// The link of an engine carries one copy after another. If all hosts copied at once,
/// the short last part of a copy, for which the run stands still, would wait behind the
/// long copies of other runs. So the hosts take turns in the order of their addresses,
/// by the loads that each tells the others.
pub fn turn(
  engine: &Engine,
  this: SocketAddr,
  loads: impl IntoIterator<Item = (SocketAddr, Load)>,
) -> Turn {
  let earlier = loads.into_iter().filter(|(host, _)| *host < this);
  let after = earlier.map(|(_, load)| drain_time(engine, &load)).sum();
  Turn { after }
}

fn drain_time(engine: &Engine, load: &Load) -> Duration {
  engine.copy_time(load.held) + COPY_OVERHEAD * load.runs
}
