//! What each client account uses, over all hosts, and which accounts use more than their share.

mod message;
mod table;

#[cfg(test)]
mod tests;

pub use {
  message::Message,
  table::{Table, fair_part},
};
