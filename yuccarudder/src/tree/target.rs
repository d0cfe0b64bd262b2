use {
  super::{DataCentreKey, ServiceKey, State},
  std::net::SocketAddr,
};

/// A server that runs none of our code: a model engine or a plain service.
#[derive(Clone, Debug)]
pub struct Target {
  /// Address on which it listens.
  pub address: SocketAddr,
  /// Data centre in which it runs.
  pub data_centre: DataCentreKey,
  /// Its name within the service.
  pub name: String,
  /// Service that it provides.
  pub service: ServiceKey,
  /// Whether it takes new work.
  pub state: State,
}
