//! The graceful stop of a host.

mod drain;
mod plan;

pub use drain::Drain;
pub use plan::{Phase, Plan};

#[cfg(test)]
mod tests;
