use {
  super::{DataCentreKey, ServiceKey, State},
  std::net::SocketAddr,
};

/// A server that runs none of our code: a model engine or a plain service.
#[derive(Clone, Debug)]
pub struct Target {
  /// Where it listens.
  pub address: SocketAddr,
  /// The data centre that it stands in.
  pub data_centre: DataCentreKey,
  /// Its name within the service.
  pub name: String,
  /// The service that it serves.
  pub service: ServiceKey,
  /// Whether it takes new work.
  pub state: State,
}
