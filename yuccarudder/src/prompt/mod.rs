//! The parts of prompts whose KV cache targets still hold.

mod holding;
mod message;
mod part;
mod prompt;
mod table;

pub use {
  message::Message,
  prompt::Prompt,
  table::{MAX_NEWS, Table},
};

use {holding::Holding, part::Part};

#[cfg(test)]
mod tests;
