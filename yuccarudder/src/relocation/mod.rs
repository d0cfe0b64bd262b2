//! Runs that go on at another engine before theirs leaves.

mod order;
mod plan;

pub use order::{Copied, Failure, Order};
pub use plan::{Turn, turn};

#[cfg(test)]
mod tests;
