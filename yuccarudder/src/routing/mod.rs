//! Routes, services and client accounts that a platform publishes, and the admission of requests.

mod account;
mod admission;
mod catalog;
mod freshness;
mod route;
mod service;

pub use account::Account;
pub use admission::{Admission, AgeLimits, Attributes, admit};
pub use catalog::{AccountKey, CallerLimits, Catalog, Definition, RouteKey};
pub use freshness::Freshness;
pub use route::{Destination, Kind, Route};
pub use service::{Engine, Service};

#[cfg(test)]
mod tests;
