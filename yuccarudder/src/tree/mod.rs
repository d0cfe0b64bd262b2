//! The settings tree that the platform publishes, and its acceptance.
//!
//! Four levels inherit in this order: operator, service, data centre, client
//! account. A later level overrides only the knobs it names.

mod account;
mod call;
mod data_centre;
mod explain;
mod key;
mod knobs;
mod level;
mod secret;
mod service;
mod state;
mod target;
mod tree;

pub use account::Account;
pub use call::Call;
pub use data_centre::DataCentre;
pub use explain::{Explanation, explain};
pub use key::{AccountKey, DataCentreKey, ServiceKey, TargetKey};
pub use knobs::{Knobs, Overrides};
pub use level::Level;
pub use secret::Secret;
pub use service::{Kind, Service, Traits};
pub use state::State;
pub use target::Target;
pub use tree::Tree;

#[cfg(test)]
mod tests;
