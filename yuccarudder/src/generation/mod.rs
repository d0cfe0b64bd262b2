//! Generations: the token stream of an engine, relayed to the caller who requested it.
//!
//! A job is run by one engine at a time. If the connection to the engine breaks, the generation
//! is resumed there; if the engine has lost it, the job is run again under a new generation id as
//! long as its caller has seen no token.

mod buffered;
mod engine;
mod event;
mod id;
mod job;
mod reattach_claims;
mod renderer;
mod request;
mod respond;
mod sequencer;
mod session;
mod stream;
mod watchdog;

pub use engine::{EventStream, OpenOutcome};
pub use event::Event;
pub use id::Id;
pub use job::Job;
pub use reattach_claims::ReattachClaims;
pub use renderer::Renderer;
pub use request::{Endpoint, Request};
pub use respond::{Call, reattach, respond};
pub use sequencer::{Action, Input, Limits, Sequencer};
pub use session::{Output, Session};
pub use stream::{Moved, REATTACH_HEADER};
pub use watchdog::Watchdog;

#[cfg(test)]
mod tests;
