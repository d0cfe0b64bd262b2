//! Remembers which software version began each stream that its caller may continue, so that it is
//! continued at that version only, at whichever host the caller asks.

mod coverage;
mod history;
mod table;

pub use coverage::Coverage;
pub use history::{History, Inventory, Revisions};
pub use table::{Decision, STREAM_RETENTION, ServiceVersion, Table, stream_key};

#[cfg(test)]
mod tests;
