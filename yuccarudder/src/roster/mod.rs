//! The roster of the targets that the platform lists, and which of them accept new requests.

mod listing;
mod roster;

pub use listing::{Listing, State};
pub use roster::{Announcement, Departure, Key, Roster, Status, Target, fingerprint};

#[cfg(test)]
mod tests;
