//! How a host follows what the platform publishes.

mod document;
mod run;

pub use document::{Area, Change, Changes, Error, Snapshot, Store, Subject};
pub use run::run;
