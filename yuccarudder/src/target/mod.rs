//! The targets of one host's view, the jobs in hand at each, and the choice among them.

mod choose;
mod in_hand;
mod table;

pub use choose::{Candidate, Choice, choose};
pub use in_hand::InHand;
pub use table::{Chosen, Identity, Key, Row, Table, Targets};

#[cfg(test)]
mod tests;
