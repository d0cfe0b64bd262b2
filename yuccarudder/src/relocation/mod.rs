//! Runs that go on at another engine before theirs leaves.

mod links;
mod messages;
mod plan;
mod window;

pub use links::Candidate;
pub use messages::{Copied, CopyRequest, Failure};
pub use plan::{Plan, Position, Run, Source, plan};
pub use window::{REPORT_LAG, Window, leaves_at};

#[cfg(test)]
mod tests;
