//! An entry host before a platform that lists its targets and routes, but not its hosts.
//!
//! A request passes `front` (who may use what), `assignment` (which target), `sending` (one
//! try at one target), and `plain` or `stream` (what follows); the answer of a stream
//! goes on in `session`. The decisions are in the slices of their own duty.

mod answer;
mod assignment;
mod call;
mod directory;
mod engine_polling;
mod front;
mod gateway;
mod meters;
mod migration;
mod plain;
mod probes;
mod published;
mod pulses;
mod retrying;
mod sending;
mod serve;
mod session;
mod shutdown;
mod stream;
mod timing;

pub use directory::Directory;
pub use gateway::Gateway;
pub use serve::{Server, run};

#[cfg(test)]
mod tests;
