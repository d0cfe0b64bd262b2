//! Bounds on what one host holds, for one client account and in all.

mod held;
mod limits;
mod memory;

pub use held::Held;
pub use limits::{Limits, MAX_JOBS, Place};
pub use memory::{Memory, Reserved};

#[cfg(test)]
mod tests;
