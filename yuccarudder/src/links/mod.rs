//! Judges whether a host has lost its links to the targets of a service, while the targets may be
//! sound and other hosts may still reach them.

mod status;
mod table;

pub use status::Status;
pub use table::{Failure, Probe, Table};

#[cfg(test)]
mod tests;
