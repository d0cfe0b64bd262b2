//! The settings file of one host: what its process cannot learn elsewhere.

mod host;

pub use host::{Host, LogFormat};

#[cfg(test)]
mod tests;
