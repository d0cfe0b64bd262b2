//! At most one dispatch per request key at its home.

mod key;
mod outcome;
mod registry;

pub use key::Key;
pub use outcome::{Answer, Outcome};
pub use registry::{Bounds, Claim, Registry};

#[cfg(test)]
mod tests;
