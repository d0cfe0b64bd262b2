//! The targets of one host's view, the jobs in hand at each, and the choice among them.

mod choose;
mod in_flight;
mod table;

pub use choose::{Candidate, Choice, choose};
pub use in_flight::InFlight;
pub use table::{Chosen, Identity, Key, Row, Table, Targets};

#[cfg(test)]
mod tests;
