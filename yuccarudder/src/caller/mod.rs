//! A client library for callers: discovers entry hosts, resumes streams at other hosts and
//! retries calls under an idempotency key.

mod client;
mod failure;
mod stream;

pub use client::{Call, Client, Reply};
pub use failure::Failure;
pub use stream::{Generation, Token};

#[cfg(test)]
mod tests;
