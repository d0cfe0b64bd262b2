//! How a host follows what the platform publishes.

mod document;
mod run;

pub use document::{Area, Change, Changes, Currency, Error, Mode, Snapshot, Store, Subject};
pub use run::run;
