//! Checked reading of YAML documents that reports every fault found.

mod fault;
mod map;
mod node;
mod reader;

pub use fault::Fault;
pub use map::Map;
pub use node::Node;
pub use reader::{Reader, read};

#[cfg(test)]
mod tests;
