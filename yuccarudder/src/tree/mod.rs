//! The settings tree that the platform publishes: parsing, validation and lookup.
//!
//! Settings are inherited through four levels in this order: operator, service, data centre,
//! client account. A later level overrides only the settings that it contains.

mod account;
mod data_centre;
mod explain;
mod key;
mod level;
mod matcher;
mod secret;
mod service;
mod settings;
mod state;
mod target;
mod tree;

pub use account::Account;
pub use data_centre::DataCentre;
pub use explain::{Explanation, explain};
pub use key::{AccountKey, DataCentreKey, ServiceKey, TargetKey};
pub use level::Level;
pub use matcher::Matcher;
pub use secret::Secret;
pub use service::{Capabilities, Kind, Service};
pub use settings::{Overrides, Settings};
pub use state::State;
pub use target::Target;
pub use tree::Tree;

#[cfg(test)]
mod tests;
