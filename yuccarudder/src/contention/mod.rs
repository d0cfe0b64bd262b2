//! The order of the waiting requests of all hosts, by which free places at targets are dealt out.

mod message;
mod table;

pub use {
  message::{Message, Waiter},
  table::Table,
};
