//! Runs that go on at another engine before theirs leaves.

mod links;
mod order;
mod plan;
mod window;

pub use links::Candidate;
pub use order::{Copied, Failure, Order};
pub use plan::{Plan, Position, Run, Source, plan};
pub use window::{REPORT_LAG, Window, gone_at};

#[cfg(test)]
mod tests;
