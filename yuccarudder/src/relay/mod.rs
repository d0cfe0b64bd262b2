//! The events of a stream on their way to the caller.

mod cursor;

pub use cursor::{Cursor, Fault};

#[cfg(test)]
mod tests;
