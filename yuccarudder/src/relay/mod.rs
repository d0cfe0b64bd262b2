//! Splitting and order checks of server-sent events that are relayed from a target to a caller.

mod cursor;
mod numbering;
mod splitter;

pub use cursor::{Cursor, Error};

#[cfg(test)]
mod tests;
