//! Generations: one stream of tokens from one engine to the caller who asked.

mod assembly;
mod attachment;
mod engine;
mod event;
mod id;
mod job;
mod render;
mod request;
mod respond;
mod session;
mod stream;
mod watchdog;
mod whole;

pub use assembly::{Assembly, Input, Limits, Step};
pub use attachment::Attachment;
pub use engine::{Link, Opened};
pub use event::Event;
pub use id::Id;
pub use job::Job;
pub use render::Render;
pub use request::{Endpoint, Request};
pub use respond::{Call, reattach, respond};
pub use session::{Piece, Session};
pub use stream::{Moved, REATTACH_HEADER};
pub use watchdog::Watchdog;

#[cfg(test)]
mod tests;
