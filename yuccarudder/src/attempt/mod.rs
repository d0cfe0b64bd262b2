//! Decides whether a request is retried after an attempt at a target, and otherwise what the
//! caller is informed of.

mod decision;
mod hedge;
mod outcome;

pub use decision::{Decision, History, decide};
pub use hedge::hedge_delay;
pub use outcome::Outcome;

#[cfg(test)]
mod tests;
