//! Limits the jobs at targets in their cold start.
//!
//! A connection is warm once the target has reported on it that its cold start is over. A
//! process that restarts loses its connections, so no job sent on a warm connection can reach
//! a cold process. On any other connection a job needs a grant from the owner of the target:
//! the one host that counts the jobs there.

mod grants;
mod lease;
mod report;

pub use grants::{Grant, Grants, Request};
pub use lease::{Lease, acquire, grant, release};
pub use report::Report;

#[cfg(test)]
mod tests;
