//! The HTTP servers of a host, one for callers and one for operators, and its
//! startup and shutdown.

mod callers;
mod connection;
pub(crate) mod connections;
mod models;
mod occupancy;
mod operators;
mod run;
mod status;
mod unmarked;

pub use connections::serve;
pub use run::{Server, run};
pub use status::Status;

#[cfg(test)]
mod tests;
