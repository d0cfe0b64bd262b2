use {
  crate::{
    limit::{Permit, Reservation},
    target::Chosen,
    tree::{AccountKey, Capabilities, ServiceKey, Settings, Tree},
  },
  serde_json::{Map, Value},
  std::{sync::Arc, time::Instant},
};

/// A generation job that was admitted by this host.
#[derive(Debug)]
pub struct Job {
  /// The client account that sent the request.
  pub account: AccountKey,
  /// Request body for the engine, without the fields that differ between runs.
  pub body: Map<String, Value>,
  /// Time by which the answer must be complete.
  pub deadline: Instant,
  /// Effective settings of the service and client account.
  pub settings: Settings,
  /// Permit that counts the job against the limits on concurrent jobs; released on drop.
  pub job_permit: Permit,
  /// Reservation for the memory that the request occupies; released on drop.
  pub request_memory: Option<Reservation>,
  /// Whether the caller may reconnect and resume the stream after losing its connection.
  pub reattachable: bool,
  /// The service that the request names as its model.
  pub service: ServiceKey,
  /// Whether tokens are sent to the caller as they arrive.
  pub streamed: bool,
  /// Optional features that the engines of the service support.
  pub capabilities: Capabilities,
  /// The settings under which the job was admitted.
  pub tree: Arc<Tree>,
}

impl Job {
  /// Returns the name of the client account.
  pub fn account_name(&self) -> &str {
    &self.tree.accounts[self.account].name
  }

  /// Returns the settings that apply in the data centre of a target.
  pub fn settings_at(&self, chosen: &Chosen) -> Settings {
    let data_centre = self.tree.data_centre(&chosen.data_centre);
    self.tree.settings(Some(self.service), data_centre, Some(self.account))
  }

  /// Returns the name of the service.
  pub fn service_name(&self) -> &str {
    &self.tree.services[self.service].name
  }
}
