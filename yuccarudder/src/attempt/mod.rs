//! What follows from the outcome of sending a request to a target.

mod outcome;
mod verdict;

pub use outcome::Outcome;
pub use verdict::{State, Verdict, decide};

#[cfg(test)]
mod tests;
