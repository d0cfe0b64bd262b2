//! Runs that go on at another engine before theirs leaves.

mod destination;
mod order;
mod plan;

pub use destination::{Candidate, destination};
pub use order::{Copied, Failure, Order};
pub use plan::{Plan, Queue, REPORT_AGE, REPORT_LAG};

#[cfg(test)]
mod tests;
