//! Signed values that callers carry between hosts.

mod signature;
mod ticket;

pub use signature::{Domain, mac, sign, verify};
pub use ticket::Ticket;

#[cfg(test)]
mod tests;
