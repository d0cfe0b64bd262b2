//! How a host follows what the platform publishes.

mod document;
mod duty;
mod run;

pub use document::{Area, Change, Changes, Currency, Error, Mode, Snapshot, Store, Subject};
pub use duty::Duty;
pub use run::run;

#[cfg(test)]
mod tests;
