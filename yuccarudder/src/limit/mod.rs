//! Bounds on what one host holds, for one client account and in all.

mod held;
mod limits;
mod memory;
mod repeats;
mod retries;

pub use held::Held;
pub use limits::{Limits, MAX_JOBS, Place};
pub use memory::{Memory, Reserved};
pub use repeats::{RepeatBound, Repeats};
pub use retries::Retries;

#[cfg(test)]
mod tests;
