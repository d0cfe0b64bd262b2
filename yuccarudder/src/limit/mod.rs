//! Limits on one host: concurrent jobs, memory for buffered bodies, and retries.

mod body;
mod limiter;
mod memory;
mod quota;
mod retries;

pub use body::BufferedBody;
pub use limiter::{Limiter, MAX_JOBS, Permit};
pub use memory::{Memory, Reservation};
pub use quota::{RetryBudget, RetryQuota};
pub use retries::RetryBuckets;

#[cfg(test)]
mod tests;
