//! The settings file of one host: what its process cannot learn elsewhere.

mod gateway;
mod host;

pub use gateway::{Gateway, Guarantees};
use host::LOG_FORMATS;
pub use host::{Host, LogFormat};

#[cfg(test)]
mod tests;
