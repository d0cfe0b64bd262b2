//! Refusals and unclear ends, as callers see them.

mod ran;
mod reason;
mod refusal;

pub use ran::Ran;
pub use reason::Reason;
pub use refusal::Refusal;

#[cfg(test)]
mod tests;
