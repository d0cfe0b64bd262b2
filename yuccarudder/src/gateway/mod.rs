//! An entry host before a platform that lists its targets and routes, but not its hosts.
//!
//! A request passes `front` (who may use what), `placed` (which target), `sending` (one
//! try at one target), and `plain` or `stream` (what follows); the answer of a stream
//! goes on in `session`. The decisions are in the slices of their own duty.

mod buffered;
mod call;
mod directory;
mod finish;
mod gateway;
mod heartbeats;
mod ingress;
mod inspection;
mod instruments;
mod movement;
mod pauses;
mod placed;
mod response;
mod retrying;
mod scrape;
mod sending;
mod serve;
mod session;
mod stream;
mod updates;

pub use directory::Directory;
pub use gateway::Gateway;
pub use serve::{Server, run};

#[cfg(test)]
mod tests;
