//! Runs that go on at another engine before theirs leaves.

mod links;
mod order;
mod plan;
mod window;

pub use links::Candidate;
pub use order::{Copied, Failure, Order};
pub use plan::{Plan, Position, Run, Source, plan};
pub use window::{REPORT_AGE, REPORT_LAG, Window};

#[cfg(test)]
mod tests;
