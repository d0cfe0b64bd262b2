//! Connections between hosts: forwarded calls and remote procedure calls.
//!
//! Both kinds start with the same handshake, in which each side proves that it
//! knows a secret of the settings tree and checks the other's protocol version.

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
