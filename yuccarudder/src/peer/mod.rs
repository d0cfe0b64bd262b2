//! Messages between hosts: forwarded calls as frames, control as remote calls.
//!
//! Both start with the same handshake, which proves that each side holds a key
//! of the settings tree and settles the protocol version.

pub mod control;
mod forward;
mod frame;
mod handshake;
mod serve;

pub use control::{Notice, announce};
pub use forward::forward;
pub use frame::{Frame, Header, Message};
pub use handshake::{Identity, Purpose, Transport, accept, connect};
pub use serve::serve;

#[cfg(test)]
mod tests;
