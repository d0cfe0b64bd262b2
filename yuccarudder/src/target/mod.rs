//! Tracks the targets of the settings tree and the jobs in flight at each, and selects a
//! target for each job.

mod choose;
mod in_flight;
mod table;

pub use choose::{Candidate, Choice, choose};
pub use in_flight::InFlight;
pub use table::{Chosen, Identity, Key, Row, Table, Targets};

#[cfg(test)]
mod tests;
