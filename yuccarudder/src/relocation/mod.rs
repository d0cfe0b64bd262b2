//! Runs that go on at another engine before theirs leaves.

mod destination;
mod order;
mod plan;

pub use destination::{Candidate, destination};
pub use order::{Copied, Failure, Order};
pub use plan::{Queue, Schedule, schedule};

#[cfg(test)]
mod tests;
