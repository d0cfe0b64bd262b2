//! Client of the platform's configuration service, which publishes the host list and the
//! settings tree.

mod client;
mod watcher;

pub use client::{Client, Document, Key, REVISION_HEADER};
pub use watcher::watch;
