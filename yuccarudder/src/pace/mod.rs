//! How fast each target generates, and where the pauses of streams stay within the limits of their routes.

mod message;
mod table;

pub use {message::Message, table::Table};
