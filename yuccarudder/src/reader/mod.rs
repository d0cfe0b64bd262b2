//! Reading of the platform's store, by some hosts on behalf of all.

mod document;
mod role;
mod run;

pub use document::{Area, Change, Changes, Consistency, Error, Mode, Snapshot, Store, Subject};
pub use role::Role;
pub use run::run;

#[cfg(test)]
mod tests;
