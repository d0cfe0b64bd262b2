//! Reading of the platform's store, by some hosts on behalf of all.

mod document;
mod era;
mod role;
mod run;
mod version;

pub use document::{Area, Change, Changes, Consistency, Error, Mode, Snapshot, Store, Subject};
pub use era::{Era, REWRITE_PERIOD, Relation};
pub use role::{Copies, Role, targets_valid_for};
pub use run::run;
pub use version::Version;

#[cfg(test)]
mod tests;
