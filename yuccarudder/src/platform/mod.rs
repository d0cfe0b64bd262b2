//! Reading and watching the platform's configuration service.

mod client;
mod watcher;

pub use client::{Client, Document, Key, REVISION_HEADER};
pub use watcher::watch;
