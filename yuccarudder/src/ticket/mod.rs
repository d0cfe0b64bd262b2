//! Signed tokens that callers and hosts present to other hosts.
//!
//! Tokens are signed and not encrypted, so callers can read them.

mod signature;
mod ticket;

pub use signature::{Domain, mac, sign, verify};
pub use ticket::Ticket;

#[cfg(test)]
mod tests;
