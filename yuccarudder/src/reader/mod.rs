//! How a host follows what the platform publishes.

mod document;
mod duty;
mod run;

pub use document::{Area, Change, Changes, Consistency, Error, Mode, Snapshot, Store, Subject};
pub use duty::Role;
pub use run::run;

#[cfg(test)]
mod tests;
