//! Validating reader of YAML documents that reports all faults, not just the first.

mod collector;
mod fault;
mod map;
mod nesting;
mod node;

pub use collector::{Collector, read};
pub use fault::Fault;
pub use map::Map;
pub use node::Node;

#[cfg(test)]
mod tests;
