//! Decides whether a response is whole that ended with its connection, as it has neither a length nor
//! chunks. The connection of a process that is killed ends in the same way.

mod judge;

pub use judge::{Ended, Sign, Verdict};

#[cfg(test)]
mod tests;
