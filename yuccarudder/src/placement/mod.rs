//! The load of the targets as all hosts see it, and the choice among them.

mod choose;
mod health;
mod ledger;
mod lengths;
mod load;
mod pace;
mod place;
mod queue;

pub use choose::{Candidate, Choice, Need, choose, sample};
pub use health::{Health, Outcome};
pub use ledger::{Ledger, Run, RunKey};
pub use lengths::Lengths;
pub use load::Load;
pub use pace::{ColdBound, Pace};
pub use place::{Place, Places, Waiting};
pub use queue::{Queue, Rank, Ticket};

#[cfg(test)]
mod tests;
