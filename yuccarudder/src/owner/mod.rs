//! Selection of the one host that may perform a duty for the whole fleet.
//!
//! The owner of a duty is the live host of the published list that rendezvous hashing ranks
//! highest. It acts only while its list is confirmed as current, and only after it has waited
//! for the longest time for which a predecessor may still act under an older list.

mod duty;
mod ownership;
mod timing;

pub use duty::Duty;
pub use ownership::Ownership;
pub use timing::Timing;

#[cfg(test)]
mod tests;
