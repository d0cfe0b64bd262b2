//! The state that the tasks of one entry host share.

mod host;

pub use host::Host;
