//! Planning of relocations: when engines are about to leave, their runs are copied to other
//! engines and continue there.
//!
//! A run is one execution of a request on an engine. To copy a run is to transfer its KV cache.
//! The gateway carries out the plan for each run of its own host, which it calls a migration.

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
