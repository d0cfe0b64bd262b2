//! The errors that callers receive: why a request was refused or ended early, and
//! whether a target may have executed it.

mod execution;
mod reason;
mod refusal;

pub use execution::Execution;
pub use reason::Reason;
pub use refusal::Refusal;

#[cfg(test)]
mod tests;
