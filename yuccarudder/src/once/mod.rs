//! The registry of idempotency keys at their home host, which issued the keys' ticket.
//!
//! A request with an idempotency key is dispatched at most once. Repeats of it receive the
//! stored outcome of the first.

mod key;
mod outcome;
mod registry;

pub use key::Key;
pub use outcome::{Answer, Outcome};
pub use registry::{Bounds, Claim, Registry};

#[cfg(test)]
mod tests;
