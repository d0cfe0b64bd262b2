//! What follows from the outcome of sending a request to a target.

mod decision;
mod outcome;

pub use decision::{Decision, History, decide};
pub use outcome::Outcome;

#[cfg(test)]
mod tests;
