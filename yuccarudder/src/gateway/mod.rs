//! An entry host before a platform that lists its targets and routes, but not its hosts.
//!
//! A request passes `front` (who may use what), `placed` (which target), `sending` (one
//! try at one target), and `plain` or `stream` (what follows); the answer of a stream
//! goes on in `session`. The decisions are in the slices of their own duty.

mod answer;
mod call;
mod directory;
mod finish;
mod front;
mod gateway;
mod inspection;
mod meters;
mod movement;
mod pauses;
mod placed;
mod plain;
mod probes;
mod published;
mod pulses;
mod retrying;
mod sending;
mod serve;
mod session;
mod stream;

pub use directory::Directory;
pub use gateway::Gateway;
pub use serve::{Server, run};

#[cfg(test)]
mod tests;
