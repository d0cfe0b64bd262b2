//! What each client account uses, over all hosts, and which accounts use more than their share.

mod message;
mod table;

pub use {message::Message, table::Table};
