//! Which addresses callers are told to use.

mod answer;
mod leaving;
mod order;

pub use answer::{Answer, answer};
pub use leaving::Leaving;
pub use order::order;

#[cfg(test)]
mod tests;
