//! The order of the waiting requests of all hosts, by which free places at targets are dealt out.

mod deal;
mod grant;
mod message;
mod request;
mod room;
mod table;

#[cfg(test)]
mod tests;

pub use {
  grant::Grant,
  message::{Message, Waiter},
  request::Request,
  room::Room,
  table::{MAX_WAITERS, Table},
};
