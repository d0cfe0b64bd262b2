//! Splitting and order checks of server-sent events that are relayed from a target to a caller.

mod cursor;
mod numbering;

pub use cursor::{Cursor, Error};

#[cfg(test)]
mod tests;
