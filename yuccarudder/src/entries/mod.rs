//! The list of entry hosts that callers are told to use.

mod departure_notices;
mod entry_list;
mod order;

pub use departure_notices::DepartureNotices;
pub use entry_list::{EntryList, list_entries};
pub use order::order;

#[cfg(test)]
mod tests;
