//! Places at targets in their cold start.
//!
//! A connection is warm once the target said so on it: a process that restarts
//! loses its connections, so no job sent on a warm one can reach a cold process.
//! On any other connection a job needs a place that the owner of the target grants.

mod ask;
mod ledger;
mod report;

pub use ask::{Lease, acquire, grant, release};
pub use ledger::{Grant, Grants, Request};
pub use report::Report;

#[cfg(test)]
mod tests;
