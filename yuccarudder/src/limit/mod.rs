//! Limits on one host: concurrent jobs, memory for buffered bodies, and retries.

mod body;
mod buckets;
mod limiter;
mod memory;
mod quota;

pub use body::BufferedBody;
pub use buckets::RetryBuckets;
pub use limiter::{Limiter, MAX_JOBS, Permit};
pub use memory::{Memory, Reservation};
pub use quota::{RetryBudget, RetryQuota};

#[cfg(test)]
mod tests;
