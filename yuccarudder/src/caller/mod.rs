//! A caller of the system: finds entries, follows streams, repeats keys.

mod client;
mod failure;
mod stream;

pub use client::{Call, Client, Reply};
pub use failure::Failure;
pub use stream::{Generation, Token};

#[cfg(test)]
mod tests;
