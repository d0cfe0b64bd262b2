//! The parts of prompts whose KV cache targets still hold.

mod message;
mod table;

pub use {message::Message, table::Table};
