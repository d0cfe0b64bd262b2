//! Signed values that callers carry between hosts.

mod seal;
mod ticket;

pub use seal::{Domain, code, open, seal};
pub use ticket::Ticket;

#[cfg(test)]
mod tests;
