//! Checked reading of YAML documents that reports every fault found.

mod collector;
mod fault;
mod map;
mod node;

pub use collector::{Collector, read};
pub use fault::Fault;
pub use map::Map;
pub use node::Node;

#[cfg(test)]
mod tests;
