//! A stand-in for a model engine.
//!
//! It batches continuously, preempts when its memory is full, resumes and
//! cancels streams, reports its load with a lag, and misbehaves on demand.

mod batch;
mod engine;
mod faults;
mod stream;
mod text;

pub use batch::{Batch, Config, Load};
pub use engine::Engine;
pub use faults::Faults;
pub use text::{stamp, token};
