//! The phases of a host's graceful shutdown.

mod drain;
mod plan;

pub use drain::Drain;
pub use plan::{Phase, Plan};

#[cfg(test)]
mod tests;
