//! Checks a catalog before it is published.

mod check;
mod compare;
mod finding;

pub use {
  check::check,
  compare::compare,
  finding::{Finding, Level},
};

#[cfg(test)]
mod tests;
