use {
  crate::{
    limit::{Permit, Reservation},
    target::Chosen,
    tree::{AccountKey, Knobs, ServiceKey, Traits, Tree},
  },
  serde_json::{Map, Value},
  std::{sync::Arc, time::Instant},
};

/// A generation job that was let in.
#[derive(Debug)]
pub struct Job {
  /// The account that asked.
  pub account: AccountKey,
  /// What to send to the engine.
  pub body: Map<String, Value>,
  /// When the answer must be whole.
  pub deadline: Instant,
  /// The knobs of the service and account.
  pub knobs: Knobs,
  /// The job's place in its account's limit.
  pub place: Permit,
  /// The room of its request.
  pub reserved: Option<Reservation>,
  /// Whether the caller may come back for the rest after losing its connection.
  pub reattachable: bool,
  /// The service.
  pub service: ServiceKey,
  /// Whether the caller sees tokens as they come.
  pub streamed: bool,
  /// What the engines can do.
  pub traits: Traits,
  /// The settings under which the job was let in.
  pub tree: Arc<Tree>,
}

impl Job {
  /// Returns the name of the account.
  pub fn account_name(&self) -> &str {
    &self.tree.accounts[self.account].name
  }

  /// Returns the knobs at the data centre of a target.
  pub fn knobs_at(&self, chosen: &Chosen) -> Knobs {
    let data_centre = self.tree.data_centre(&chosen.data_centre);
    self.tree.knobs(Some(self.service), data_centre, Some(self.account))
  }

  /// Returns the name of the service.
  pub fn service_name(&self) -> &str {
    &self.tree.services[self.service].name
  }
}
