//! The registry of idempotency keys at their home host, which issued the ticket of the keys.
//!
//! A request with an idempotency key is dispatched at most once. Repeated requests with the
//! same key receive the stored outcome of the first one.

mod key;
mod outcome;
mod registry;

pub use key::Key;
pub use outcome::{Answer, Outcome};
pub use registry::{Bounds, Claim, Registry};

#[cfg(test)]
mod tests;
