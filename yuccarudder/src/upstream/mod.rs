//! Pooled connections to targets and to the platform.

mod call;
mod error;
mod gate;
mod pool;
mod right;

pub use call::{Admission, Call, Permit};
pub use error::Error;
pub use gate::{Gate, Gated};
pub use pool::Pool;
pub use right::Right;

#[cfg(test)]
mod tests;
