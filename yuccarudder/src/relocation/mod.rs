//! Relocation of runs: when an engine is about to leave, the generations that it runs are
//! copied to other engines and continue there.

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
