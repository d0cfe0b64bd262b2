//! HTTP client with pooled connections to targets and to the platform.

mod call;
mod error;
mod pool;
mod send_guard;
mod send_permit;

pub use call::{Admission, Call, SendCheck};
pub use error::Error;
pub use pool::Pool;
pub use send_guard::{GuardedStream, SendGuard};
pub use send_permit::SendPermit;

#[cfg(test)]
mod tests;
