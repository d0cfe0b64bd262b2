//! Refusals and unclear ends, as callers see them.

mod execution;
mod reason;
mod refusal;

pub use execution::Execution;
pub use reason::Reason;
pub use refusal::Refusal;

#[cfg(test)]
mod tests;
