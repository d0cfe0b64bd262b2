//! The state that is shared by all tasks of one entry host.

mod host;

pub use host::Host;
