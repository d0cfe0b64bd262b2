//! The targets that a platform lists, and which of them take new work.

mod listing;
mod roster;

pub use listing::{Listing, State};
pub use roster::{Departure, Key, Roster, Status, Target, fingerprint};

#[cfg(test)]
mod tests;
