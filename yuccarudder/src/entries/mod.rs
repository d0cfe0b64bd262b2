//! The list of entry hosts for callers, which `GET /v1/entries` returns.

mod departure_notices;
mod entry_list;
mod order;

pub use departure_notices::DepartureNotices;
pub use entry_list::{EntryList, list_entries};
pub use order::order;

#[cfg(test)]
mod tests;
