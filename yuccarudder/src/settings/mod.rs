//! The settings files of hosts, which hold what a process cannot learn from the platform.

mod gateway;
mod host;

pub use gateway::{Gateway, Guarantees, Placement};
use host::LOG_FORMATS;
pub use host::{Host, LogFormat};

#[cfg(test)]
mod tests;
