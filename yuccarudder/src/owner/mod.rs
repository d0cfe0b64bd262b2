//! Which one host may act for a duty of the whole fleet.
//!
//! The owner of a duty is the live host that rendezvous hashing ranks highest
//! in the published list. It acts only while its list is confirmed fresh, and
//! only after it has waited out the longest time that a predecessor may still
//! believe in an older list.

mod duty;
mod ownership;
mod terms;

pub use duty::Duty;
pub use ownership::Ownership;
pub use terms::Timing;

#[cfg(test)]
mod tests;
